"""Applies documents of routes and returns the document in force."""

from typing import Any

from returns.result import Failure as Err

from ..kernel.channel import to_refused
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, failure
from ..kernel.logs import get_logger
from ..kernel.messages import AppliedDocument, ApplyDocument, ReadDocument
from ..kernel.tokens import token_matches
from ..replication import LogReplica
from ..routes import RouteDocument, parse_document
from ._commands import ApplyCommand, encode_command
from ._machine import KeeperStateMachine

__all__ = ["DocumentService"]


class DocumentService:
    """Answers `ApplyDocument` and `ReadDocument` messages on the leader.

    Parameters
    ----------
    machine : KeeperStateMachine
    replica : LogReplica
    operator_token : str
        Token that an `ApplyDocument` message must hold.
    """

    def __init__(
        self, machine: KeeperStateMachine, replica: LogReplica, operator_token: str
    ):
        self._machine = machine
        self._replica = replica
        self._operator_token = operator_token

    async def answer_request(self, request: ApplyDocument | ReadDocument) -> Any:
        """Return the reply to one request."""
        match request:
            case ApplyDocument():
                return await self._apply_document(request)
            case ReadDocument():
                return self._read_document()

    async def _apply_document(self, request: ApplyDocument) -> Any:
        """Commit a document if its version is newer than the one in force.

        A document that is not newer is answered with the version in force.
        """
        log = get_logger()
        if not token_matches(self._operator_token, request.operator_token):
            return to_refused(failure(Code.BAD_TOKEN))
        parsed = parse_document(request.document)
        if isinstance(parsed, Err):
            fault = parsed.failure()
            log.info("document_refused", version=request.version, reason=fault.message)
            return to_refused(fault)
        version_in_force = self._machine.applied_document.version
        if request.version <= version_in_force and self._replica.can_act_as_leader(
            monotonic_ms()
        ):
            log.info(
                "document_not_newer", version=request.version, held=version_in_force
            )
            return AppliedDocument(version_in_force, b"")
        needs_key = self._find_key_need(parsed.unwrap())
        command = ApplyCommand(
            request.version, request.source, request.document, needs_key
        )
        proposed = await self._replica.propose(encode_command(command))
        if isinstance(proposed, Err):
            fault = proposed.failure()
            log.warning(
                "document_unsure", version=request.version, reason=fault.message
            )
            return to_refused(fault, self._replica.leader_addr)
        version = self._machine.applied_document.version
        log.info(
            "document_committed",
            version=request.version,
            in_force=version,
            needs_key=self._machine.applied_document.needs_key,
        )
        return AppliedDocument(version, b"")

    def _find_key_need(self, document: RouteDocument) -> bool:
        """Return whether requests need a key under a document that is to be committed.

        The need for keys stays when a document leaves out the customers.
        """
        in_force = self._machine.get_route_document()
        is_kept = in_force is not None and in_force.needs_key
        if is_kept and not document.needs_key:
            get_logger().warning("key_need_kept", version=document.version)
        return document.needs_key or is_kept

    def _read_document(self) -> Any:
        # Leadership is checked right before the answer, because a leader whose lease
        # expired while its process was suspended may hold an older document than
        # the quorum.
        if not self._replica.can_act_as_leader(monotonic_ms()):
            return to_refused(failure(Code.NOT_LEADER))
        applied = self._machine.applied_document
        return AppliedDocument(applied.version, applied.source)
