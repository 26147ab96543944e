"""Decodes a JSON object whose list of entries several writers share.

The decoder rejects a document as a whole if one entry is nested too deeply or has a
number or a character that it cannot represent. The other writers' entries hold all the
same, so the entries are then decoded one by one.
"""

import re
from typing import Any

import orjson

from .logs import get_logger

__all__ = ["load_with_entries"]

# Strings and the characters that give a JSON document its structure.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},]', re.DOTALL)
# Key of a member of an object, with the colon after it.
_KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:', re.DOTALL)


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
        value = _load_members(data, entries_name)
    if not isinstance(value, dict) or not isinstance(value.get(entries_name), list):
        raise ValueError(f"expected an object with a list {entries_name}")
    return value


def _load_members(data: bytes, entries_name: str) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for member in _split_items(data, b"{"):
        key = _KEY.match(member)
        if key is None:
            raise ValueError("expected a member of an object")
        name, value = orjson.loads(key[1]), member[key.end() :]
        members[name] = (
            _load_entries(value) if name == entries_name else orjson.loads(value)
        )
    return members


def _load_entries(data: bytes) -> list[Any]:
    entries = []
    for entry in _split_items(data, b"["):
        try:
            entries.append(orjson.loads(entry))
        except orjson.JSONDecodeError as exc:
            get_logger().info("list_entry_ignored", reason=str(exc)[:120])
    return entries


def _split_items(data: bytes, opening: bytes) -> list[bytes]:
    """Return the items of an array or object, not decoded.

    Parameters
    ----------
    data : bytes
    opening : bytes
        The bracket with which the array or object begins.

    Raises
    ------
    ValueError
        When the brackets are not balanced.
    """
    data = data.strip()
    if not data.startswith(opening):
        raise ValueError(f"expected {opening.decode()}")
    items, depth, begin = [], 0, 1
    for token in _TOKEN.finditer(data):
        match token[0]:
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
                if not depth and token.end() < len(data):
                    raise ValueError("bytes after the end")
            case b"," if depth == 1:
                items.append(data[begin : token.start()])
                begin = token.end()
    if depth:
        raise ValueError("brackets are not balanced")
    last_item = data[begin:-1]
    return [*items, last_item] if items or last_item.strip() else []
