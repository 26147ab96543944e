"""Decides which requests need a claim, and makes their keys.

A request is claimed when it has an ``Idempotency-Key`` header or when its
catalogue entry is not repeatable. If a request to such an entry has no key, one is
generated; each answer carries it as a header, so that the caller can ask for the
outcome by resending the request with this key.

A key may end in ``@`` and the milliseconds since the epoch at which it was made,
as in ``round-7-family-12@1750000000000``. Once the claim of such a key may have
been dropped, a resend is refused as expired; a key without a time runs again.
"""

import hashlib
import random
import re
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import CatalogueEntry
from ...kernel.codes import Code, Failure, failure
from ...kernel.http import Request

__all__ = ["KEY_HEADER", "ClaimKey", "make_claim_key"]

KEY_HEADER = "idempotency-key"
# Longest key that a caller can choose, in characters.
MAX_KEY_CHARS = 255
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+\Z")
_KEY_TIME_PATTERN = re.compile(r"@([0-9]{12,15})\Z")
HASH_BYTES = 16


class ClaimKey(NamedTuple):
    """The key under which a request is claimed.

    Parameters
    ----------
    idempotency_key : str
        The key that the caller sent, or the one generated for it.
    claim_id : str
        Hash of the catalogue entry's name and the key.
    digest : str
        Hash of the request's method, target and body.
    key_time_ms : int
        Wall time at the end of the key; 0 if it has none.
    """

    idempotency_key: str
    claim_id: str
    digest: str
    key_time_ms: int


def make_claim_key(
    entry: CatalogueEntry, request: Request, wall_ms: int, rng: random.Random
) -> Result[ClaimKey | None, Failure]:
    """Return the key of a request; None if the request needs no claim.

    Fails with BAD_HEADER when the caller's key is too long or has characters other
    than visible ASCII.
    """
    idempotency_key = request.headers.get(KEY_HEADER)
    if idempotency_key is None and entry.repeatable:
        return Success(None)
    if idempotency_key is None:
        idempotency_key = f"{rng.getrandbits(128):032x}@{wall_ms}"
    if len(idempotency_key) > MAX_KEY_CHARS or not _KEY_PATTERN.match(idempotency_key):
        return Err(
            failure(
                Code.BAD_HEADER,
                f"Idempotency-Key: expected 1 to {MAX_KEY_CHARS} visible characters",
            )
        )
    key_time = _KEY_TIME_PATTERN.search(idempotency_key)
    return Success(
        ClaimKey(
            idempotency_key=idempotency_key,
            claim_id=_hash(entry.name.encode(), idempotency_key.encode()),
            digest=_hash(
                request.method.encode(), request.target.encode(), request.body
            ),
            key_time_ms=int(key_time[1]) if key_time else 0,
        )
    )


def _hash(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for part in parts:
        # Without the lengths, parts divided differently would have the same hash.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
