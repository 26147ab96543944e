"""Decodes a JSON object whose list of entries several writers share.

The decoder rejects a document as a whole if one entry is nested too deeply, breaks off
in the middle, or has a number or a character that the decoder cannot represent. The
other writers' entries hold all the same, so the entries are then decoded one by one.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

import orjson

from .logs import get_logger

__all__ = ["load_with_entries"]

# Strings and the characters that give a JSON document its structure.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
# Place at which the entry after a broken one may begin.
_NEXT_OBJECT = re.compile(r",\s*(?=\{)")
_BLANKS = re.compile(r"\s*")
# Size up to which the end of a broken entry is looked for, in characters. Entries have
# some kilobytes, and a list with many broken ones must not take long.
MAX_BROKEN_ENTRY_CHARS = 65_536
# Finds the end of a value; unlike the decoder that gives the value, it accepts one that
# no process can represent.
_END_FINDER = json.JSONDecoder()


def load_with_entries(data: bytes, entries_name: str) -> dict[str, Any]:
    """Return a JSON object, without the entries of one list that cannot be decoded.

    Parameters
    ----------
    data : bytes
    entries_name : str
        Name of the member that holds the list of entries.

    Raises
    ------
    ValueError
        When the object cannot be decoded even without its entries, or holds no such
        list.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        get_logger().info("entries_decoded_singly", reason=str(exc)[:120])
        value = _load_singly(data, entries_name)
    if not isinstance(value, dict) or not isinstance(value.get(entries_name), list):
        raise ValueError(f"expected an object with a list {entries_name}")
    return value


def _load_singly(data: bytes, entries_name: str) -> dict[str, Any]:
    # One character for each byte, so that positions are the same in both.
    text = data.decode("latin-1")
    opening = re.search(rf'"{re.escape(entries_name)}"\s*:\s*\[', text)
    if opening is None:
        raise ValueError(f"expected a list {entries_name}")
    head = data[: opening.start()].strip()
    if head != b"{":
        head = head.removesuffix(b",")
    members = orjson.loads(head + b"}")
    end, tail_members = _find_list_end(data, opening.end())
    spans = list(_iterate_entries(text[:end], opening.end()))
    entries = []
    is_decoded = True
    for begin, entry_end in spans:
        is_decoded = False
        try:
            entries.append(orjson.loads(data[begin:entry_end]))
            is_decoded = True
        except orjson.JSONDecodeError as exc:
            get_logger().info("list_entry_ignored", reason=str(exc)[:120])
    if not is_decoded and not tail_members:
        # The last entry may be broken because the document is.
        raise ValueError("expected a whole last entry, or members after the list")
    return {**members, entries_name: entries, **tail_members}


def _find_list_end(data: bytes, begin: int) -> tuple[int, dict[str, Any]]:
    """Return where the list ends, and the members of the object after it."""
    end = len(data)
    while (end := data.rfind(b"]", begin, end)) >= 0:
        tail = data[end + 1 :].strip()
        if tail == b"}":
            return end, {}
        if tail.startswith(b","):
            try:
                members = orjson.loads(b"{" + tail[1:])
            except orjson.JSONDecodeError:
                continue
            if members:
                return end, members
    raise ValueError("expected the end of the list and of the object")


def _iterate_entries(text: str, begin: int) -> Iterator[tuple[int, int]]:
    """Yield where the entries of a list begin and end, which ends with the text."""
    begin = _skip_blanks(text, begin)
    while begin < len(text):
        end = _find_value_end(text, begin)
        if end is None:
            end = _find_broken_end(text, begin)
        yield begin, end
        begin = _skip_blanks(text, _skip_blanks(text, end) + 1)


def _find_value_end(text: str, begin: int) -> int | None:
    """Return the end of a value if the next one, or the list's end, comes after it."""
    try:
        _, end = _END_FINDER.raw_decode(text, begin)
    except (ValueError, RecursionError):
        return None
    return end if _is_entry_end(text, end) else None


def _find_broken_end(text: str, begin: int) -> int:
    """Return the end of a broken entry, after which the next sound one begins.

    A sound object after a comma is either the next entry or a part of the broken one.
    It is a part if it stands in an array that is closed, and so is the entry. Where a
    quote is missing, the object seems to stand in a string.
    """
    next_begin = _find_next_object(text, begin)
    closings: list[str] = []
    is_part = False
    limit = min(len(text), begin + MAX_BROKEN_ENTRY_CHARS)
    for token in _TOKEN.finditer(text, begin, limit):
        if not is_part and token.end() > next_begin:
            is_in_array = closings[-1:] == ["]"] and token.start() >= next_begin
            if not is_in_array:
                return next_begin
            is_part = True
        match token[0]:
            case "[":
                closings.append("]")
            case "{":
                closings.append("}")
            case "]" | "}":
                if not closings or closings.pop() != token[0]:
                    return next_begin
                if not closings and _is_entry_end(text, token.end()):
                    return token.end()
    return next_begin


def _find_next_object(text: str, begin: int) -> int:
    """Return the place of the comma before the next sound object, or the text's end."""
    for separator in _NEXT_OBJECT.finditer(text, begin):
        if _find_value_end(text, separator.end()) is not None:
            return separator.start()
    return len(text)


def _is_entry_end(text: str, end: int) -> bool:
    """Return whether the next entry, or the end of the list, comes after a place."""
    following = _skip_blanks(text, end)
    return following == len(text) or text[following] == ","


def _skip_blanks(text: str, begin: int) -> int:
    return _BLANKS.match(text, begin).end()
