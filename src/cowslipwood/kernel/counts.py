"""Reads whole numbers that a peer has sent as text."""

__all__ = ["parse_count"]

# Largest number of digits that is read. Any time in milliseconds fits, and floats hold
# all such numbers exactly.
MAX_DIGITS = 15


def parse_count(text: str) -> int | None:
    """Return a whole number of decimal digits; None if the text is anything else.

    `int` accepts the digits of all scripts and raises for thousands of digits;
    `str.isdigit` accepts characters that `int` does not.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)
