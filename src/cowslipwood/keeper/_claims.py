"""Answers entries' claim messages on the leader.

Each message becomes one command of the replicated log, which commits those of
many callers together. A claim that is answered already is read from the local
state: an answer never changes, so a keeper without a quorum may still give it.
"""

from typing import Any, NamedTuple

from returns.result import Failure as Err

from ..kernel.channel import as_refused
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import ClaimAttempt, ClaimBegin, ClaimFinish, ClaimState
from ..kernel.metrics import Metrics
from ..replication import Replica
from ._commands import (
    ClaimAttemptCommand,
    ClaimBeginCommand,
    ClaimFinishCommand,
    encode_command,
)
from ._machine import KeeperMachine

__all__ = ["ClaimLimits", "Claims"]

MAX_KEY_CHARS = 64
MAX_FIELD_CHARS = 256
RETRY_AFTER_MS = 1_000


class ClaimLimits(NamedTuple):
    """How long and how many claims are held.

    Parameters
    ----------
    keep_ms : int
        Time that a claim lasts.
    max_claims : int
    max_answer_bytes : int
        Largest answer that is kept.
    max_answers_bytes : int
        All kept answers together.
    """

    keep_ms: int
    max_claims: int
    max_answer_bytes: int
    max_answers_bytes: int


class Claims:
    """Serves `ClaimBegin`, `ClaimAttempt` and `ClaimFinish`.

    Parameters
    ----------
    machine : KeeperMachine
    replica : Replica
    limits : ClaimLimits
    metrics : Metrics
    """

    def __init__(
        self,
        machine: KeeperMachine,
        replica: Replica,
        limits: ClaimLimits,
        metrics: Metrics,
    ):
        self._machine = machine
        self._replica = replica
        self._limits = limits
        self._metrics = metrics

    async def answer(
        self, message: ClaimBegin | ClaimAttempt | ClaimFinish, wall_ms: int
    ) -> Any:
        """Return the key's state, or a refusal."""
        if not _is_bounded(message):
            return self._refuse(failure(Code.BAD_MESSAGE, "a field is too long"))
        held = self._answered(message, wall_ms)
        if held is not None:
            return held
        command = encode_command(self._command(message, wall_ms))
        proposed = await self._replica.propose(command)
        if isinstance(proposed, Err):
            return self._refuse(self._not_recorded(message, proposed.failure()))
        applied = proposed.unwrap()
        self._measure()
        if isinstance(applied, Err):
            return self._refuse(applied.failure())
        state = applied.unwrap()
        if isinstance(message, ClaimFinish):
            self._metrics.count("claims_finished_total", outcome=message.outcome)
        return state

    def _answered(self, message: Any, wall_ms: int) -> ClaimState | None:
        """Return the state of an answered claim that this request may read."""
        table = self._machine.claims
        if not isinstance(message, ClaimBegin):
            return None
        state = table.state(message.key)
        if state.status != "answered" or state.expires_ms <= wall_ms:
            return None
        if not table.matches(message.key, message.digest):
            return None
        self._metrics.count("claims_read_total")
        return state

    def _command(self, message: Any, wall_ms: int) -> Any:
        limits = self._limits
        match message:
            case ClaimBegin():
                return ClaimBeginCommand(
                    message, wall_ms, limits.keep_ms, limits.max_claims
                )
            case ClaimAttempt():
                return ClaimAttemptCommand(message, wall_ms)
            case ClaimFinish():
                return ClaimFinishCommand(
                    _without_large_answer(message, limits.max_answer_bytes),
                    wall_ms,
                    limits.max_answer_bytes,
                    limits.max_answers_bytes,
                )

    def _not_recorded(self, message: Any, fault: Failure) -> Failure:
        """Return what a caller is told when the log could not take a command.

        A key that is known to have been used may have run, so its caller is
        not told that it did not.
        """
        status = self._machine.claims.state(message.key).status
        if fault.code == Code.NO_QUORUM and status in ("open", "unknown", "answered"):
            return failure(Code.CLAIM_IN_PROGRESS, "", RETRY_AFTER_MS)
        return fault

    def _refuse(self, fault: Failure) -> Any:
        self._metrics.count("refusals_total", reason=fault.code.name)
        return as_refused(fault, self._replica.leader_addr)

    def _measure(self) -> None:
        table = self._machine.claims
        self._metrics.gauge("claims", len(table))
        self._metrics.gauge("claims_open", table.n_open)
        self._metrics.gauge("claims_answers_bytes", table.answers_bytes)


def _without_large_answer(finish: ClaimFinish, max_bytes: int) -> ClaimFinish:
    """Drop an answer that would not be kept before it takes room in the log."""
    if len(finish.headers) + len(finish.body) <= max_bytes:
        return finish
    return finish._replace(headers=b"", body=b"", kept=False)


def _is_bounded(message: Any) -> bool:
    if not 0 < len(message.key) <= MAX_KEY_CHARS:
        return False
    texts = (value for value in message if isinstance(value, str))
    return all(len(text) <= MAX_FIELD_CHARS for text in texts)
