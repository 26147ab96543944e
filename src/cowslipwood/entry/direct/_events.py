"""Splits a stream of server-sent events, to know after which event it broke."""

__all__ = ["EventSplitter"]

_END = b"\n\n"


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
    """

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        self._held = b""
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return those to pass on now."""
        if not self._whole_only:
            return data
        whole, end, rest = (self._held + data).rpartition(_END)
        self._held = rest
        if not end:
            return b""
        self._note_id(whole)
        return whole + end

    def rest(self) -> bytes:
        """Return what was held back when the stream ended whole."""
        held, self._held = self._held, b""
        return held

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                return
