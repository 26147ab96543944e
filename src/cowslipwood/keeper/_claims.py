"""Answers entries' claim messages on the leader.

Each message becomes one command of the replicated log, which commits the commands
of many callers together. A claim that is answered already is read from the local
state. An answered claim stays answered, so a keeper without a quorum may still return
its state.
"""

from typing import Any, NamedTuple

from returns.result import Failure as Err

from ..kernel.channel import to_refused
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
from ._machine import KeeperStateMachine

__all__ = ["ClaimLimits", "ClaimService"]

# Largest number of characters in the key of a claim.
MAX_KEY_CHARS = 64
# Largest number of characters in any text field of a claim message.
MAX_FIELD_CHARS = 256
# Milliseconds after which a caller is told to ask again about a used key.
IN_PROGRESS_RETRY_AFTER_MS = 1_000


class ClaimLimits(NamedTuple):
    """Limits on the lifetime, number and size of claims.

    Parameters
    ----------
    keep_ms : int
        Time after which a claim expires.
    max_claims : int
        Largest number of claims at once.
    max_answer_bytes : int
        Size of the largest answer that is kept.
    max_answers_bytes : int
        Largest total size of the kept answers.
    """

    keep_ms: int
    max_claims: int
    max_answer_bytes: int
    max_answers_bytes: int


class ClaimService:
    """Answers `ClaimBegin`, `ClaimAttempt` and `ClaimFinish` messages.

    Parameters
    ----------
    machine : KeeperStateMachine
    replica : Replica
    limits : ClaimLimits
    metrics : Metrics
    """

    def __init__(
        self,
        machine: KeeperStateMachine,
        replica: Replica,
        limits: ClaimLimits,
        metrics: Metrics,
    ):
        self._machine = machine
        self._replica = replica
        self._limits = limits
        self._metrics = metrics

    async def answer_message(
        self, message: ClaimBegin | ClaimAttempt | ClaimFinish, wall_ms: int
    ) -> Any:
        """Return the state of the message's key, or a refusal."""
        if not _are_fields_bounded(message):
            return self._refuse(failure(Code.BAD_MESSAGE, "a field is too long"))
        answered = self._read_answered_claim(message, wall_ms)
        if answered is not None:
            return answered
        command = encode_command(self._make_command(message, wall_ms))
        proposed = await self._replica.propose(command)
        if isinstance(proposed, Err):
            return self._refuse(self._explain_unrecorded(message, proposed.failure()))
        applied = proposed.unwrap()
        self._update_gauges()
        if isinstance(applied, Err):
            return self._refuse(applied.failure())
        state = applied.unwrap()
        if isinstance(message, ClaimFinish):
            self._metrics.count("claims_finished_total", outcome=message.outcome)
        return state

    def _read_answered_claim(self, message: Any, wall_ms: int) -> ClaimState | None:
        """Return the state if the message is for a claim that is answered already."""
        table = self._machine.claims
        if not isinstance(message, ClaimBegin):
            return None
        state = table.get_state(message.key)
        if state.status != "answered" or state.expires_ms <= wall_ms:
            return None
        if not table.matches_request(message.key, message.digest):
            return None
        self._metrics.count("claims_read_total")
        return state

    def _make_command(self, message: Any, wall_ms: int) -> Any:
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

    def _explain_unrecorded(self, message: Any, fault: Failure) -> Failure:
        """Return the failure for a caller when the log did not record a command.

        When the key is known to have been used, its request may have run. The
        failure then doesn't say that the request did not run.
        """
        status = self._machine.claims.get_state(message.key).status
        if fault.code == Code.NO_QUORUM and status in ("open", "unknown", "answered"):
            return failure(Code.CLAIM_IN_PROGRESS, "", IN_PROGRESS_RETRY_AFTER_MS)
        return fault

    def _refuse(self, fault: Failure) -> Any:
        self._metrics.count("refusals_total", reason=fault.code.name)
        return to_refused(fault, self._replica.leader_addr)

    def _update_gauges(self) -> None:
        table = self._machine.claims
        self._metrics.gauge("claims", len(table))
        self._metrics.gauge("claims_open", table.n_open)
        self._metrics.gauge("claims_answers_bytes", table.answers_bytes)


def _without_large_answer(finish: ClaimFinish, max_bytes: int) -> ClaimFinish:
    """Drop an answer that is too large to keep before it is written to the log."""
    if len(finish.headers) + len(finish.body) <= max_bytes:
        return finish
    return finish._replace(headers=b"", body=b"", kept=False)


def _are_fields_bounded(message: Any) -> bool:
    if not 0 < len(message.key) <= MAX_KEY_CHARS:
        return False
    texts = (value for value in message if isinstance(value, str))
    return all(len(text) <= MAX_FIELD_CHARS for text in texts)
