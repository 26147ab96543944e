"""Reads and compares the secret tokens that the processes share."""

import hmac
from pathlib import Path

from .codes import Code
from .settings import exit_with

__all__ = ["read_token", "token_matches"]


def read_token(text: str) -> str:
    """Return a token that is given directly or as ``@path`` of a file.

    Ends the process with BAD_SETTING when the file cannot be read.
    """
    if not text.startswith("@"):
        return text
    try:
        return Path(text[1:]).read_text().strip()
    except OSError as exc:
        exit_with(Code.BAD_SETTING, f"cannot read token file: {exc.strerror}")


def token_matches(expected: str, given: str) -> bool:
    """Return whether a token is the expected one, compared in constant time.

    An empty `expected` means that no token is required, so any token matches.
    """
    if not expected:
        return True
    return hmac.compare_digest(expected.encode(), given.encode())
