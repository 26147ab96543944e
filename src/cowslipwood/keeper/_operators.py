"""Answers operators' requests: edits, drains, queries and member changes."""

from typing import Any

import orjson
from returns.result import Failure as Err

from ..catalogue import CatalogueEntry, EditResult, entry_to_json, parse_entry
from ..kernel.channel import to_refused
from ..kernel.clock import monotonic_ms, wall_ms
from ..kernel.codes import Code, failure
from ..kernel.logs import get_logger
from ..kernel.messages import CrashEvidence, OperatorReply, OperatorRequest
from ..kernel.tokens import token_matches
from ..replication import LogReplica
from ._commands import DrainCommand, EditCommand, encode_command
from ._customer_limits import CustomerLimitTable
from ._directory import ProcessDirectory
from ._evidence import EvidenceRelay
from ._machine import KeeperStateMachine
from ._member_operations import MEMBER_OPS, answer_member_request
from ._server_limits import ServerLimitTable

__all__ = ["OperatorService"]

# Operations that need the operators' token.
EDIT_OPS = ("put", "delete", "drain", "undrain", "replace-member", "allow-part")


class OperatorService:
    """Answers `OperatorRequest` messages on the leader.

    Parameters
    ----------
    machine : KeeperStateMachine
    replica : LogReplica
    directory : ProcessDirectory
    evidence : EvidenceRelay
    limits : ServerLimitTable
    customer_limits : CustomerLimitTable
    operator_token : str
        Token that requests with an operation of `EDIT_OPS` must hold.
    """

    def __init__(
        self,
        machine: KeeperStateMachine,
        replica: LogReplica,
        directory: ProcessDirectory,
        evidence: EvidenceRelay,
        limits: ServerLimitTable,
        customer_limits: CustomerLimitTable,
        operator_token: str,
    ):
        self._machine = machine
        self._replica = replica
        self._directory = directory
        self._evidence = evidence
        self._limits = limits
        self._customer_limits = customer_limits
        self._operator_token = operator_token

    async def answer_request(self, request: OperatorRequest, operator: str) -> Any:
        """Return the reply to one request."""
        if request.op in EDIT_OPS and not token_matches(
            self._operator_token, request.operator_token
        ):
            return to_refused(failure(Code.BAD_TOKEN))
        match request.op:
            case "put":
                return await self._put_entry(request, operator)
            case "delete":
                return await self._edit_catalogue(request, operator, b"")
            case "drain" | "undrain":
                return await self._set_drained(request)
            case "get":
                return self._get_entry(request.name)
            case "list":
                entries = self._machine.catalogue.entries.values()
                return self._make_reply([entry_to_json(entry) for entry in entries])
            case "history":
                history = self._machine.catalogue.history
                return self._make_reply([item._asdict() for item in history])
            case "status":
                return self._make_reply(self._collect_status())
            case "blocked-parts":
                return self._make_reply(self._list_blocked_parts())
            case "limited-servers":
                return self._make_reply(self._list_limited_servers())
            case "customers":
                return self._make_reply(self._list_customers())
            case "allow-part":
                return self._allow_part(request.name, operator)
            case op if op in MEMBER_OPS:
                revision = self._machine.catalogue.revision
                return await answer_member_request(self._replica, request, revision)
            case _:
                return to_refused(failure(Code.UNKNOWN_OPERATION, request.op[:40]))

    async def _put_entry(self, request: OperatorRequest, operator: str) -> Any:
        try:
            value = orjson.loads(request.body)
        except orjson.JSONDecodeError as exc:
            return to_refused(failure(Code.BAD_JSON, str(exc)))
        parsed = parse_entry(value)
        if isinstance(parsed, Err):
            return to_refused(parsed.failure())
        entry: CatalogueEntry = parsed.unwrap()
        body = orjson.dumps(entry_to_json(entry))
        return await self._edit_catalogue(
            request._replace(name=entry.name), operator, body
        )

    async def _edit_catalogue(
        self, request: OperatorRequest, operator: str, entry: bytes
    ) -> Any:
        command = EditCommand(
            edit_id=request.edit_id,
            op=request.op,
            name=request.name,
            entry=entry,
            expect_revision=request.expect_revision,
            operator=operator,
            wall_ms=wall_ms(),
            max_memory_bytes=self._directory.get_max_capacity_bytes(monotonic_ms()),
        )
        return await self._propose(command)

    async def _set_drained(self, request: OperatorRequest) -> Any:
        known_ids = {
            report.server_id
            for report in self._directory.list_live_agent_reports(monotonic_ms())
        }
        known_ids |= self._machine.assignments.keys() | self._machine.drained
        if request.name not in known_ids:
            return to_refused(failure(Code.NO_SUCH_SERVER, f"no {request.name[:80]}"))
        return await self._propose(DrainCommand(request.name, request.op == "drain"))

    async def _propose(self, command: Any) -> Any:
        proposed = await self._replica.propose(encode_command(command))
        if isinstance(proposed, Err):
            return to_refused(proposed.failure(), self._replica.leader_addr)
        applied = proposed.unwrap()
        if isinstance(applied, Err):
            return to_refused(applied.failure())
        match applied.unwrap():
            case EditResult(revision, _):
                return self._make_reply({"revision": revision})
            case _:
                return self._make_reply({"revision": self._machine.catalogue.revision})

    def _get_entry(self, name: str) -> Any:
        entry = self._machine.catalogue.entries.get(name)
        if entry is None:
            return to_refused(failure(Code.NO_SUCH_ENTRY, f"no entry named {name}"))
        return self._make_reply(entry_to_json(entry))

    def _list_blocked_parts(self) -> list[dict[str, Any]]:
        now_ms = monotonic_ms()
        return [
            {
                "part": block.part,
                "servers": block.server_ids,
                "for_s": round((block.until_ms - now_ms) / 1000),
            }
            for block in self._evidence.find_blocks(now_ms)
        ]

    def _list_limited_servers(self) -> list[dict[str, Any]]:
        now_ms = monotonic_ms()
        return [
            {
                "server": fact.server_id,
                "requests_per_s": fact.rate_per_s,
                "age_s": round((now_ms - fact.at_ms) / 1000),
                "short": self._limits.was_short(
                    fact.server_id, fact.incarnation, now_ms
                ),
            }
            for fact in self._limits.list_limits()
        ]

    def _list_customers(self) -> list[dict[str, Any]]:
        return [
            {
                "customer": customer.name,
                "unit": customer.unit.value,
                "rate_per_s": customer.rate_per_s,
                "burst": customer.burst,
                "use_per_s": None if use_per_s is None else round(use_per_s, 1),
                "level": None if level is None else round(level, 1),
            }
            for customer, use_per_s, level in self._customer_limits.list_uses(
                monotonic_ms()
            )
        ]

    def _allow_part(self, part: str, operator: str) -> Any:
        """Tell all entries to treat a part as one of completed answers."""
        get_logger().warning("prompt_part_lifted", part=part, operator=operator)
        self._evidence.add(CrashEvidence((), (part,)), monotonic_ms())
        return self._make_reply({"revision": self._machine.catalogue.revision})

    def _collect_status(self) -> dict[str, Any]:
        now_ms = monotonic_ms()
        return {
            "revision": self._machine.catalogue.revision,
            "term": self._replica.term,
            "leader": self._replica.leader_addr,
            "servers": [
                {
                    "server_id": report.server_id,
                    "zone": report.zone,
                    "kind": report.kind,
                    "leaving": report.leaving,
                    "revision": report.catalogue_revision,
                    "capacity_bytes": report.capacity_bytes,
                    "committed_bytes": report.committed_bytes,
                    "models": [
                        {"name": resident.model, "state": resident.state}
                        for resident in report.residents
                    ],
                    "n_in_flight": report.n_in_flight,
                }
                for report in self._directory.list_live_agent_reports(now_ms)
            ],
            "entries": [
                {
                    "entry_id": report.entry_id,
                    "zone": report.zone,
                    "leaving": report.leaving,
                    "revision": report.catalogue_revision,
                }
                for report in self._directory.list_live_entry_reports(now_ms)
            ],
        }

    def _make_reply(self, value: Any) -> OperatorReply:
        return OperatorReply(orjson.dumps(value), self._machine.catalogue.revision)
