"""Splits a stream of server-sent events, to know after which event it broke."""

import re

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTooLongError"]

_END = b"\n\n"
# An event ends with an empty line; lines end with a line feed or both characters.
_ANY_END = re.compile(rb"\n\r?\n")
_END_BYTES = 3
# Many times the longest event of a few tokens; what has no end by then is none.
MAX_EVENT_BYTES = 262_144


class EventTooLongError(Exception):
    """More bytes than an event may have came without the end of one."""


class EventSplitter:
    """Cuts a byte stream into events.

    Parameters
    ----------
    whole_only : bool
        Whether to hold back an event until its end has come, so that another
        server can go on after the last one passed on.

    Attributes
    ----------
    last_id : bytes
        Id of the last whole event; empty before the first.
    n_ends : int
        Parts of the stream in which an event ended.
    """

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        self._held = bytearray()
        self._tail = b""
        self._n_since_end = 0
        self.last_id = b""
        self.n_ends = 0

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return those to pass on now.

        Raises
        ------
        EventTooLongError
            When no event has ended for `MAX_EVENT_BYTES`.
        """
        self._count(data)
        if not self._whole_only:
            return data
        self._held += data
        end = self._held.rfind(_END)
        if end < 0:
            return b""
        whole = bytes(self._held[: end + len(_END)])
        del self._held[: end + len(_END)]
        self._note_id(whole)
        return whole

    def rest(self) -> bytes:
        """Return what was held back when the stream ended whole."""
        held, self._held = bytes(self._held), bytearray()
        return held

    def _count(self, data: bytes) -> None:
        seen = self._tail + data
        self._tail = seen[-_END_BYTES + 1 :]
        if _ANY_END.search(seen):
            self.n_ends += 1
            self._n_since_end = 0
            return
        self._n_since_end += len(data)
        if self._n_since_end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"no event ended in {self._n_since_end} bytes")

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                return
