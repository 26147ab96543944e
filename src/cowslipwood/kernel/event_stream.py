"""Splits a stream of server-sent events, to know the last event before a failure."""

import re
from collections.abc import Iterable

from .http_connection import BodyEnd

__all__ = [
    "MAX_EVENT_BYTES",
    "EventSplitter",
    "EventTooLongError",
    "StatusLineError",
    "is_event_stream",
]

# Content type of a stream of events.
_EVENT_STREAM_TYPE = b"text/event-stream"
# Empty lines that end an event, in streams whose lines end with a line feed and with a
# carriage return and a line feed.
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
# Length, in bytes, of the longest of `_EVENT_ENDS`.
_MAX_EVENT_END_BYTES = 3
# Beginning of the first line of an HTTP answer, at the beginning of a line.
_STATUS_LINE = re.compile(rb"^HTTP/1\.[01] [0-9]{3}", re.MULTILINE)
# Line with the id of an event.
_ID_LINE = re.compile(rb"^id:([^\r\n]*)", re.MULTILINE)
# Length, in bytes, of the longest match of `_STATUS_LINE` and the line end before it.
_MAX_STATUS_LINE_BYTES = 13
# Largest number of bytes without the end of an event. It is many times the longest
# event of a few tokens; a stream beyond it does not consist of events.
MAX_EVENT_BYTES = 262_144


def is_event_stream(headers: Iterable[tuple[bytes, bytes]], default: bool) -> bool:
    """Return whether an answer's content type is that of a stream of events.

    Parameters
    ----------
    headers : iterable of tuple of bytes
    default : bool
        Result for an answer that states no content type.
    """
    for name, value in headers:
        if name.lower() == b"content-type":
            return value.lower().startswith(_EVENT_STREAM_TYPE)
    return default


class EventTooLongError(Exception):
    """A stream has more bytes without the end of an event than allowed."""


class StatusLineError(Exception):
    """The first line of another answer stands among the lines of a stream.

    Only a stream that ends with its connection can hold it: a faulty server has
    answered twice, and what follows is not part of the stream.
    """


class EventSplitter:
    """Splits a byte stream into events.

    Parameters
    ----------
    whole_only : bool
        Whether to hold back an event until its end has arrived, so that another
        server can resume after the last event that was forwarded.

    Attributes
    ----------
    last_event_id : bytes
        Id of the last whole event; empty before the first one.
    fed_ids : list of bytes
        Ids of the events that ended in the last chunk.
    n_chunks_with_event_end : int
        Number of chunks in which an event ended.
    """

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        self._open = bytearray()
        self.last_event_id = b""
        self.fed_ids: list[bytes] = []
        self.n_chunks_with_event_end = 0

    @property
    def n_open_bytes(self) -> int:
        """Number of bytes since the end of the last event."""
        return len(self._open)

    @property
    def has_open_event(self) -> bool:
        """Whether an event has begun and its end has not arrived.

        Empty lines and whole comment lines are not part of an event.
        """
        *lines, unfinished_line = bytes(self._open).split(b"\n")
        return bool(unfinished_line) or any(
            line.rstrip(b"\r") and not line.startswith(b":") for line in lines
        )

    def find_break(self, body_end: BodyEnd) -> str:
        """Return why a stream whose body has ended was broken off; empty if it was not.

        The end of a connection alone does not tell a complete stream from one whose
        server ended.

        Parameters
        ----------
        body_end : BodyEnd
            What marked the end of the body.
        """
        if self.has_open_event:
            return f"the stream ended {self.n_open_bytes} bytes into an event"
        if body_end is BodyEnd.CONNECTION_CLOSE and not self.n_chunks_with_event_end:
            return "the connection ended before the first event"
        return ""

    def feed(self, data: bytes) -> bytes:
        """Take a chunk and return the bytes to forward now.

        Raises
        ------
        EventTooLongError
            If no event has ended for more than `MAX_EVENT_BYTES`.
        StatusLineError
            If a line is the first line of an answer.
        """
        n_open = len(self._open)
        self._open += data
        self.fed_ids = []
        if _STATUS_LINE.search(self._open, max(0, n_open - _MAX_STATUS_LINE_BYTES)):
            raise StatusLineError("another answer begins within the stream")
        end = _find_last_event_end(
            self._open, max(0, n_open - _MAX_EVENT_END_BYTES + 1)
        )
        if not end:
            if len(self._open) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"no event ended in {len(self._open)} bytes")
            return b"" if self._whole_only else data
        self.n_chunks_with_event_end += 1
        whole = bytes(self._open[:end])
        del self._open[:end]
        self.fed_ids = [line.strip() for line in _ID_LINE.findall(whole)]
        if self.fed_ids:
            self.last_event_id = self.fed_ids[-1]
        return whole if self._whole_only else data

    def take_held(self) -> bytes:
        """Return the bytes held back, after a stream has ended properly."""
        held = bytes(self._open) if self._whole_only else b""
        self._open.clear()
        return held


def _find_last_event_end(data: bytearray, start: int) -> int:
    """Return the position after the last end of an event; 0 if none ends.

    Parameters
    ----------
    data : bytearray
    start : int
        Where to begin the search.
    """
    return max(
        position + len(end) if (position := data.rfind(end, start)) >= 0 else 0
        for end in _EVENT_ENDS
    )
