"""Identifies a request that comes again, at whatever entry and with another id."""

import hashlib

import anyio.lowlevel

from ...crash_evidence import REQUEST_MARK
from ._headers import HeaderNames
from ._request import RoutedRequest

__all__ = ["RequestIdentity"]

# Length of the digest, in bytes: too long to find two requests with the same one.
DIGEST_BYTES = 12
# Number of bytes of a body that are hashed before other tasks run, well below a
# millisecond's worth.
SLICE_BYTES = 65_536


class RequestIdentity:
    """The digest of a request's method, host, path, caller and body.

    The digest depends on a key of the system, so that a caller cannot make up a request
    that has the digest of somebody else's.

    Parameters
    ----------
    request : RoutedRequest
    names : HeaderNames
    key : bytes
        The same at all entries.
    """

    def __init__(self, request: RoutedRequest, names: HeaderNames, key: bytes):
        self._request = request
        self._names = names
        self._key = key
        self._mark = ""

    async def compute(self) -> str:
        """Return the mark of the request; a long body is hashed in slices."""
        if self._mark:
            return self._mark
        request = self._request
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self._key)
        caller = b"\n".join(
            value
            for name, value in request.headers
            if name in (b"host", self._names.caller)
        )
        if request.customer is not None:
            # No header's value contains a zero byte.
            caller += b"\0" + request.customer.name.encode()
        for field in (request.method, request.target, caller):
            digest.update(len(field).to_bytes(4, "big") + field)
        for start in range(0, len(request.body), SLICE_BYTES):
            if start:
                await anyio.lowlevel.checkpoint()
            digest.update(request.body[start : start + SLICE_BYTES])
        self._mark = REQUEST_MARK + digest.hexdigest()
        return self._mark
