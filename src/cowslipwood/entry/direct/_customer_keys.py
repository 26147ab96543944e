"""Recognises customers by the keys of their requests."""

import hashlib
import secrets
from collections.abc import Sequence

from ...kernel.codes import Code, Failure, failure
from ...kernel.metrics import Metrics
from ...routes import MAX_KEY_BYTES, Customer, Route, RouteDocument
from ._headers import HeaderNames

__all__ = ["CustomerKeys"]

# Length of the key of the digests, and of the digests, in bytes: too long to find by
# trial a key with the digest of another.
DIGEST_BYTES = 16


class CustomerKeys:
    """The keys of the document in force.

    The table holds digests of the keys, made with a random key of the process. The
    time of a lookup therefore tells a client nothing about the keys.

    Parameters
    ----------
    names : HeaderNames
    metrics : Metrics
    """

    def __init__(self, names: HeaderNames, metrics: Metrics):
        self._names = names
        self._metrics = metrics
        self._digest_key = secrets.token_bytes(DIGEST_BYTES)
        self._customers_by_digest: dict[bytes, Customer] = {}
        self._has_customers = False

    @property
    def has_customers(self) -> bool:
        """Whether the document in force has customers, so that requests need a key."""
        return self._has_customers

    def apply_document(self, document: RouteDocument) -> None:
        """Replace the keys by those of a document that is in force now."""
        self._has_customers = bool(document.customers)
        self._customers_by_digest = {
            self._compute_digest(key.encode()): customer
            for customer in document.customers
            for key in customer.keys
        }

    def identify(
        self, headers: Sequence[tuple[bytes, bytes]], route: Route, now_ms: float
    ) -> Customer | None | Failure:
        """Return the customer that a request belongs to.

        Parameters
        ----------
        headers : sequence of tuple of bytes
            Headers of the request.
        route : Route
        now_ms : float
            A time after the arrival of the request.

        Returns
        -------
        Customer, None or Failure
            None if the request needs no key and has no valid one. Fails with BAD_KEY.
            The message does not contain the key.
        """
        if not self._has_customers:
            return None
        found = self._find_customer(headers, now_ms)
        is_exempt = isinstance(found, Failure) and route.needs_no_key
        outcome = found.code.name if isinstance(found, Failure) else Code.OK.name
        self._metrics.count(
            "customer_keys_total", outcome="EXEMPT" if is_exempt else outcome
        )
        return None if is_exempt else found

    def remove_headers(
        self, headers: Sequence[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        """Return a request's headers without its key and a customer's name.

        Without customers these headers have no meaning and stay.
        """
        if not self._has_customers:
            return list(headers)
        removed = (self._names.key, self._names.customer)
        return [pair for pair in headers if pair[0] not in removed]

    def _find_customer(
        self, headers: Sequence[tuple[bytes, bytes]], now_ms: float
    ) -> Customer | Failure:
        keys = [
            value.strip(b" \t") for name, value in headers if name == self._names.key
        ]
        if not any(keys):
            return failure(Code.BAD_KEY, "the request has no key")
        if len(keys) > 1:
            return failure(Code.BAD_KEY, "the request has several keys")
        if len(keys[0]) > MAX_KEY_BYTES:
            return failure(Code.BAD_KEY, "the key is too long")
        customer = self._customers_by_digest.get(self._compute_digest(keys[0]))
        return customer or failure(Code.BAD_KEY, "the key is unknown")

    def _compute_digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=DIGEST_BYTES, key=self._digest_key
        ).digest()
