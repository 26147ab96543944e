"""Recognises customers by the keys of their requests.

Where a removed key must not work for longer than a bound, the entry proves several
times per second that its document is current: it asks the leader for the version in
force. The reply holds for the time of the question, whenever it arrives. A document
that the leader sends by itself proves nothing, because it may have been in a buffer
while this process was paused.
"""

import hashlib
import math
import secrets
from collections.abc import Awaitable, Callable, Sequence

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.logs import get_logger
from ...kernel.messages import DocumentVersion, DocumentVersionRequest
from ...kernel.metrics import Metrics
from ...routes import MAX_KEY_BYTES, Customer, Route, RouteDocument
from ._headers import HeaderNames

__all__ = ["CustomerKeys", "VersionSource"]

# Asks the leader for the version in force; the second argument is the longest wait in
# milliseconds.
VersionSource = Callable[
    [DocumentVersionRequest, float], Awaitable[Result[DocumentVersion, Failure]]
]

# The following shares are of the time within which a removed key stops working.
#
# Age of the last proof up to which keys are accepted.
PROOF_SHARE = 0.8
# Age of the last proof up to which an unknown key counts as invalid. A key that was
# added since may be valid, and a new document reaches connected entries within half of
# the time in the deployments that set it.
UNKNOWN_KEY_SHARE = 0.4
# Interval of the questions. Keys must be accepted for a share of 0.6 after the
# connection is lost; the interval and a slow reply take a part of the remaining 0.2.
QUERY_SHARE = 0.1
# Longest wait for a reply. A reply that takes longer than 0.2 still extends the time
# for which keys are accepted.
REPLY_SHARE = 0.4
# Shortest interval of the questions, in milliseconds, so that a small bound does not
# overload the leader.
MIN_QUERY_INTERVAL_MS = 50.0
# Longest time, in milliseconds, without a message of a leader for which an unknown key
# counts as invalid where no proof is needed. An election takes less.
MAX_SILENCE_MS = 2_000.0
# Time, in milliseconds, after which a caller is told to come back while the entry may
# not know the keys in force. Another entry may take the request at once.
UNCERTAIN_RETRY_MS = 500

# Length of the key of the digests, and of the digests, in bytes: too long to find by
# trial a key with the digest of another.
DIGEST_BYTES = 16


class CustomerKeys:
    """The keys of the document in force, and the proof that it is current.

    The table holds digests of the keys, made with a random key of the process. The
    time of a lookup therefore tells a client nothing about the keys.

    Parameters
    ----------
    names : HeaderNames
    metrics : Metrics
    revoke_ms : float
        Time after the confirmation of a document within which keys that it lacks stop
        working; 0 if that is not bounded.
    ask_leader : VersionSource, optional
        Needed only for `run`.
    """

    def __init__(
        self,
        names: HeaderNames,
        metrics: Metrics,
        revoke_ms: float = 0.0,
        ask_leader: VersionSource | None = None,
    ):
        self._names = names
        self._metrics = metrics
        self._revoke_ms = revoke_ms
        self._ask_leader = ask_leader
        self._version = 0
        self._proved_ms = -math.inf
        self._heard_ms = math.inf
        self._was_certain = False
        self._document_changed = anyio.Event()
        self._first_proof = anyio.Event()
        self._digest_key = secrets.token_bytes(DIGEST_BYTES)
        self._customers_by_digest: dict[bytes, Customer] = {}
        self._needs_key = False

    @property
    def needs_key(self) -> bool:
        """Whether requests need a key, even if no key is valid."""
        return self._needs_key

    @property
    def needs_proof(self) -> bool:
        """Whether keys are accepted only with a recent proof."""
        return self._revoke_ms > 0 and self._needs_key

    @property
    def is_ready(self) -> bool:
        """Whether keys have been proved once, if they need it."""
        return not self.needs_proof or self._proved_ms > -math.inf

    def apply_document(self, document: RouteDocument) -> None:
        """Replace the keys by those of a document that is in force now."""
        self._version = document.version
        self._needs_key = document.needs_key
        self._customers_by_digest = {
            self._compute_digest(key.encode()): customer
            for customer in document.list_customers()
            for key in customer.keys
        }
        self._document_changed.set()
        self._document_changed = anyio.Event()

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
            A time after the arrival of the request, on the boot-time clock.

        Returns
        -------
        Customer, None or Failure
            None if the request needs no key and has no known one. Fails with BAD_KEY,
            or with KEYS_UNCERTAIN if the document may not be current. The message does
            not contain the key.
        """
        if not self._needs_key:
            return None
        found = self._find_customer(headers, route, now_ms)
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

        Where requests need no key these headers have no meaning and stay.
        """
        if not self._needs_key:
            return list(headers)
        removed = (self._names.key, self._names.customer)
        return [pair for pair in headers if pair[0] not in removed]

    def record_contact(self, now_ms: float) -> None:
        """Record that a message of a leader has been handled."""
        self._heard_ms = now_ms

    def is_certain(self, now_ms: float) -> bool:
        """Return whether the known keys are accepted now."""
        return self._has_proof(PROOF_SHARE, now_ms)

    def record_version(self, version: int, asked_ms: float) -> bool:
        """Record the version that was in force when the leader got a question.

        Parameters
        ----------
        version : int
        asked_ms : float
            When the question was sent, on the boot-time clock.

        Returns
        -------
        bool
            Whether this proves that the document was current at that time.
        """
        if version > self._version:
            return False
        self._proved_ms = max(self._proved_ms, asked_ms)
        self._first_proof.set()
        return True

    async def wait_until_ready(self) -> None:
        """Wait for the first proof, if one is needed."""
        if not self.is_ready:
            await self._first_proof.wait()

    async def run(self, now_ms: Callable[[], float] = monotonic_ms) -> None:
        """Prove in a loop that the document is current, while that is needed."""
        while True:
            if not self.needs_proof:
                await self._document_changed.wait()
                continue
            asked_ms = now_ms()
            self._log_certainty(asked_ms)
            await self._ask(asked_ms)
            self._log_certainty(now_ms())
            interval_ms = max(MIN_QUERY_INTERVAL_MS, QUERY_SHARE * self._revoke_ms)
            wait_ms = max(MIN_QUERY_INTERVAL_MS, asked_ms + interval_ms - now_ms())
            with anyio.move_on_after(wait_ms / 1000):
                await self._document_changed.wait()

    async def _ask(self, asked_ms: float) -> None:
        """Ask the leader once for the version in force."""
        timeout_ms = max(MIN_QUERY_INTERVAL_MS, REPLY_SHARE * self._revoke_ms)
        reply = await self._ask_leader(DocumentVersionRequest(), timeout_ms)
        answer = None if isinstance(reply, Err) else reply.unwrap()
        if not isinstance(answer, DocumentVersion):
            outcome = "no_reply"
        elif self.record_version(answer.version, asked_ms):
            outcome = "proved"
        else:
            outcome = "behind"
        self._metrics.count("document_queries_total", outcome=outcome)

    def _log_certainty(self, now_ms: float) -> None:
        """Set the gauges, and log when keys begin or cease to be accepted."""
        is_certain = self.is_certain(now_ms)
        self._metrics.gauge("keys_certain", int(is_certain))
        if self.is_ready:
            self._metrics.gauge("document_proof_age_ms", now_ms - self._proved_ms)
        if is_certain == self._was_certain:
            return
        self._was_certain = is_certain
        if is_certain:
            get_logger().info("keys_certain", document=self._version)
        else:
            get_logger().warning(
                "keys_uncertain",
                document=self._version,
                proof_age_ms=round(now_ms - self._proved_ms),
            )

    def _has_proof(self, share: float, now_ms: float) -> bool:
        """Return whether the last proof is younger than a share of the bound."""
        return (
            not self.needs_proof or now_ms - self._proved_ms < share * self._revoke_ms
        )

    def _find_customer(
        self, headers: Sequence[tuple[bytes, bytes]], route: Route, now_ms: float
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
        # A request that runs without a key needs no proof. It still belongs to the
        # customer, so that its server gets the name and the limit counts it.
        if customer is not None and (route.needs_no_key or self.is_certain(now_ms)):
            return customer
        if customer is None and self._is_up_to_date(now_ms):
            return failure(Code.BAD_KEY, "the key is unknown")
        return failure(Code.KEYS_UNCERTAIN, "", UNCERTAIN_RETRY_MS)

    def _is_up_to_date(self, now_ms: float) -> bool:
        """Return whether the entry surely has all keys but those just added."""
        if self.needs_proof:
            return self._has_proof(UNKNOWN_KEY_SHARE, now_ms)
        return now_ms - self._heard_ms <= MAX_SILENCE_MS

    def _compute_digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=DIGEST_BYTES, key=self._digest_key
        ).digest()
