"""The idempotency claims in the replicated state.

A claim says that a key was used, with which request, and which attempt may run
it. At most one attempt is open at any time, an answered claim stays answered,
and a claim whose attempt may have run never opens another.

Applying a command reads no clock: the leader's wall time and its limits stand
in the command, and the table's time never goes back.

Notes
-----
The table is one dictionary, bounded in claims and in bytes of kept answers. A
claim touches no other claim, so the table can be split by the first bits of its
key, a hash, into shards with a group of keepers each: at 14,000 requests per
second with one in twenty keyed, 700 claims per second take two log records each,
and seven shards bring that to 200 records per second for each group.
"""

import heapq
from typing import Any, NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import ClaimAttempt, ClaimBegin, ClaimFinish, ClaimState
from ._commands import ClaimAttemptCommand, ClaimBeginCommand, ClaimFinishCommand

__all__ = ["ClaimTable"]

MAX_KEY_AHEAD_MS = 300_000
RETRY_AFTER_MS = 5_000


class _Claim(NamedTuple):
    """One claim; `epoch` is the log index that opened or reopened it."""

    digest: str
    status: str
    attempt: int
    epoch: int
    opened_ms: int
    expires_ms: int
    holder: str = ""
    server_id: str = ""
    incarnation: str = ""
    agent_addr: str = ""
    answer_status: int = 0
    answer_headers: bytes = b""
    answer_body: bytes = b""
    answer_kept: bool = False

    @property
    def answer_bytes(self) -> int:
        """Size of the kept answer."""
        return len(self.answer_headers) + len(self.answer_body)


class ClaimTable:
    """All claims that have not expired."""

    def __init__(self):
        self._claims: dict[str, _Claim] = {}
        self._expiries: list[tuple[int, str]] = []
        self._answered: dict[str, int] = {}
        self._answers_bytes = 0
        self._now_ms = 0
        self._dropped_until_ms = 0
        self.n_open = 0

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    @property
    def answers_bytes(self) -> int:
        """Size of all kept answers."""
        return self._answers_bytes

    def state(self, key: str) -> ClaimState:
        """Return the state of a key; its status is ``new`` without a claim."""
        claim = self._claims.get(key)
        if claim is None:
            return ClaimState(key, "new")
        return ClaimState(
            key=key,
            status=claim.status,
            attempt=claim.attempt,
            server_id=claim.server_id,
            incarnation=claim.incarnation,
            agent_addr=claim.agent_addr,
            answer_status=claim.answer_status,
            answer_headers=claim.answer_headers,
            answer_body=claim.answer_body,
            answer_kept=claim.answer_kept,
            epoch=claim.epoch,
            holder=claim.holder,
            expires_ms=claim.expires_ms,
        )

    def matches(self, key: str, digest: str) -> bool:
        """Return whether a key is unused, or used with this request."""
        claim = self._claims.get(key)
        return claim is None or claim.digest == digest

    def apply(self, index: int, command: Any) -> Result[ClaimState, Failure]:
        """Apply a committed claim command and return the key's state."""
        self._advance(command.wall_ms)
        match command:
            case ClaimBeginCommand(begin, _, keep_ms, max_claims):
                return self._begin(index, begin, keep_ms, max_claims)
            case ClaimAttemptCommand(attempt, _):
                return self._attempt(attempt)
            case ClaimFinishCommand(finish, _, max_bytes, max_total_bytes):
                return self._finish(finish, max_bytes, max_total_bytes)
            case _:
                return Err(failure(Code.UNKNOWN_OPERATION))

    def _begin(
        self, index: int, begin: ClaimBegin, keep_ms: int, max_claims: int
    ) -> Result[ClaimState, Failure]:
        """Open a claim with its first attempt, or the next one of a free claim.

        Fails with KEY_REUSED, KEY_EXPIRED, BAD_HEADER or CLAIMS_UNAVAILABLE.
        """
        claim = self._claims.get(begin.key)
        if claim is None:
            checked = self._check_new(begin, keep_ms, max_claims)
            if isinstance(checked, Err) or not begin.server_id:
                return checked.map(lambda _: self.state(begin.key))
            claim = self._add(index, begin, keep_ms)
        if claim.digest != begin.digest:
            return Err(failure(Code.KEY_REUSED))
        if begin.server_id and claim.status in ("free", "released"):
            epoch = index if claim.status == "released" else claim.epoch
            self._open(begin.key, claim._replace(epoch=epoch), begin)
        return Success(self.state(begin.key))

    def _check_new(
        self, begin: ClaimBegin, keep_ms: int, max_claims: int
    ) -> Result[None, Failure]:
        """Refuse a key whose claim may have been dropped, or a full table."""
        dated_ms = begin.key_time_ms
        if dated_ms > self._now_ms + MAX_KEY_AHEAD_MS:
            return Err(failure(Code.BAD_HEADER, "the key's date lies in the future"))
        if dated_ms and dated_ms <= max(self._dropped_until_ms, self._now_ms - keep_ms):
            return Err(failure(Code.KEY_EXPIRED))
        if len(self._claims) >= max_claims:
            return Err(
                failure(
                    Code.CLAIMS_UNAVAILABLE, "too many claims are held", RETRY_AFTER_MS
                )
            )
        return Success(None)

    def _add(self, index: int, begin: ClaimBegin, keep_ms: int) -> _Claim:
        # A key dated ahead of the keepers' clock must not outlive its claim.
        opened_ms = max(self._now_ms, begin.key_time_ms)
        expires_ms = opened_ms + keep_ms
        claim = _Claim(begin.digest, "free", 0, index, opened_ms, expires_ms)
        self._claims[begin.key] = claim
        heapq.heappush(self._expiries, (expires_ms, begin.key))
        return claim

    def _attempt(self, wanted: ClaimAttempt) -> Result[ClaimState, Failure]:
        """Open the next attempt if the claim is still free in the same epoch."""
        claim = self._claims.get(wanted.key)
        if (
            claim is not None
            and claim.status == "free"
            and claim.epoch == wanted.epoch
            and claim.attempt + 1 == wanted.attempt
        ):
            self._open(wanted.key, claim, wanted)
        return Success(self.state(wanted.key))

    def _open(self, key: str, claim: _Claim, by: ClaimBegin | ClaimAttempt) -> None:
        self.n_open += 1
        self._claims[key] = claim._replace(
            status="open",
            attempt=claim.attempt + 1,
            holder=by.holder,
            server_id=by.server_id,
            incarnation=by.incarnation,
            agent_addr=by.agent_addr,
        )

    def _finish(
        self, finish: ClaimFinish, max_bytes: int, max_total_bytes: int
    ) -> Result[ClaimState, Failure]:
        """Record the end of an attempt; one that is no longer current is not."""
        claim = self._claims.get(finish.key)
        current = claim is not None and (claim.epoch, claim.attempt) == (
            finish.epoch,
            finish.attempt,
        )
        if not current:
            return Success(self.state(finish.key))
        match claim.status, finish.outcome:
            case "open", "void":
                self._close(finish.key, claim._replace(status="free"))
            case "open" | "free", "released":
                self._close(finish.key, claim._replace(status="released"))
            case "open", "unknown":
                self._close(finish.key, claim._replace(status="unknown"))
            case "open" | "unknown", "answered":
                self._keep(finish, claim, max_bytes)
                self._drop_answers(max_total_bytes)
        return Success(self.state(finish.key))

    def _close(self, key: str, claim: _Claim) -> None:
        if self._claims[key].status == "open":
            self.n_open -= 1
        self._claims[key] = claim

    def _keep(self, finish: ClaimFinish, claim: _Claim, max_bytes: int) -> None:
        n_bytes = len(finish.headers) + len(finish.body)
        answered = claim._replace(
            status="answered", holder="", server_id="", incarnation="", agent_addr=""
        )
        if finish.kept and n_bytes <= max_bytes:
            answered = answered._replace(
                answer_status=finish.status,
                answer_headers=finish.headers,
                answer_body=finish.body,
                answer_kept=True,
            )
            self._answered[finish.key] = n_bytes
            self._answers_bytes += n_bytes
        self._close(finish.key, answered)

    def _drop_answers(self, max_total_bytes: int) -> None:
        """Forget the oldest answers beyond the bound; their claims stay."""
        while self._answers_bytes > max_total_bytes:
            key = next(iter(self._answered))
            self._answers_bytes -= self._answered.pop(key)
            self._claims[key] = self._claims[key]._replace(
                answer_status=0,
                answer_headers=b"",
                answer_body=b"",
                answer_kept=False,
            )

    def _advance(self, wall_ms: int) -> None:
        """Move the table's time on and drop the claims that have expired."""
        self._now_ms = max(self._now_ms, wall_ms)
        while self._expiries and self._expiries[0][0] <= self._now_ms:
            _, key = heapq.heappop(self._expiries)
            claim = self._claims.pop(key)
            self.n_open -= claim.status == "open"
            self._answers_bytes -= self._answered.pop(key, 0)
            self._dropped_until_ms = max(self._dropped_until_ms, claim.opened_ms)

    def to_json(self) -> dict[str, Any]:
        """Return the whole table as a JSON value."""
        return {
            "now_ms": self._now_ms,
            "dropped_until_ms": self._dropped_until_ms,
            "answered": list(self._answered),
            "claims": [_claim_to_json(key, c) for key, c in self._claims.items()],
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "ClaimTable":
        """Return the table that `to_json` has written."""
        table = cls()
        table._now_ms = value["now_ms"]
        table._dropped_until_ms = value["dropped_until_ms"]
        for key, *fields in value["claims"]:
            claim = _claim_from_json(fields)
            table._claims[key] = claim
            table._expiries.append((claim.expires_ms, key))
            table.n_open += claim.status == "open"
        heapq.heapify(table._expiries)
        table._answered = {
            key: table._claims[key].answer_bytes for key in value["answered"]
        }
        table._answers_bytes = sum(table._answered.values())
        return table


def _claim_to_json(key: str, claim: _Claim) -> list[Any]:
    # Latin-1 maps each byte to one character, which JSON carries.
    texts = claim._replace(
        answer_headers=claim.answer_headers.decode("latin-1"),
        answer_body=claim.answer_body.decode("latin-1"),
    )
    return [key, *texts]


def _claim_from_json(fields: list[Any]) -> _Claim:
    claim = _Claim(*fields)
    return claim._replace(
        answer_headers=claim.answer_headers.encode("latin-1"),
        answer_body=claim.answer_body.encode("latin-1"),
    )
