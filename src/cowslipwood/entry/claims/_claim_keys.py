"""Which requests are claimed, and under which key.

A request is claimed when it has an ``Idempotency-Key`` or when its catalogue
entry is not repeatable. A request to such an entry without a key gets one made
here, which each answer to it names, so that the caller may ask for the outcome.

A key may end in ``@`` and the milliseconds since the epoch at which it was made,
as in ``round-7-family-12@1750000000000``. A resend of such a key is refused as
expired once its claim may have been dropped; one without a date runs again.
"""

import hashlib
import random
import re
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import Entry
from ...kernel.codes import Code, Failure, failure
from ...kernel.http import Request

__all__ = ["KEY_HEADER", "ClaimKey", "claim_key"]

KEY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 255
_KEY = re.compile(r"[\x21-\x7e]+\Z")
_DATE = re.compile(r"@([0-9]{12,15})\Z")
_HASH_BYTES = 16


class ClaimKey(NamedTuple):
    """What a request is claimed under.

    Parameters
    ----------
    text : str
        The key as the caller knows it.
    claim_id : str
        Hash of the catalogue entry's name and the key.
    digest : str
        Hash of the request's method, target and body.
    key_time_ms : int
        Wall time that the key carries; 0 when it carries none.
    """

    text: str
    claim_id: str
    digest: str
    key_time_ms: int


def claim_key(
    entry: Entry, request: Request, wall_ms: int, rng: random.Random
) -> Result[ClaimKey | None, Failure]:
    """Return the key to claim a request under; None for one that needs no claim.

    Fails with BAD_HEADER when the caller's key is not visible ASCII or is too
    long.
    """
    text = request.headers.get(KEY_HEADER)
    if text is None and entry.repeatable:
        return Success(None)
    if text is None:
        text = f"{rng.getrandbits(128):032x}@{wall_ms}"
    if len(text) > MAX_KEY_CHARS or not _KEY.match(text):
        return Err(
            failure(
                Code.BAD_HEADER,
                f"Idempotency-Key: expected 1 to {MAX_KEY_CHARS} visible characters",
            )
        )
    dated = _DATE.search(text)
    return Success(
        ClaimKey(
            text=text,
            claim_id=_hash(entry.name.encode(), text.encode()),
            digest=_hash(
                request.method.encode(), request.target.encode(), request.body
            ),
            key_time_ms=int(dated[1]) if dated else 0,
        )
    )


def _hash(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for part in parts:
        # The length keeps two parts from being taken for one another.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
