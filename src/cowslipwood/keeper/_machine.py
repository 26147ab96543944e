"""The replicated state: catalogue, assignments, drains and claims."""

import base64
from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalogue import (
    Edit,
    EditOp,
    apply_edit,
    catalogue_from_json,
    catalogue_to_json,
    empty_catalogue,
    entry_from_json,
)
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import DesiredModel
from ..routes import RouteDocument, parse_document
from ._claim_table import ClaimTable
from ._commands import (
    ApplyCommand,
    AssignCommand,
    ClaimAttemptCommand,
    ClaimBeginCommand,
    ClaimFinishCommand,
    DrainCommand,
    EditCommand,
    decode_command,
)

__all__ = ["AssignedModels", "KeeperMachine"]


NO_DOCUMENT = ApplyCommand(0, b"", b"")


class AssignedModels(NamedTuple):
    """What one backend server is to hold.

    Parameters
    ----------
    revision : int
        Log index of the command that set it.
    desired : tuple of DesiredModel
    """

    revision: int
    desired: tuple[DesiredModel, ...]


class KeeperMachine:
    """Applies committed commands; the same on every keeper."""

    def __init__(self):
        self.catalogue = empty_catalogue()
        self.assignments: dict[str, AssignedModels] = {}
        self.drained: set[str] = set()
        self.claims = ClaimTable()
        self.applied = NO_DOCUMENT
        self._parsed: RouteDocument | None = None
        self.on_change = lambda: None

    def apply(self, index: int, command: bytes) -> Result[Any, Failure]:
        """Apply one committed command and return its result."""
        decoded = decode_command(command)
        if isinstance(decoded, Err):
            return decoded
        result = self._apply(index, decoded.unwrap())
        self.on_change()
        return result

    def _apply(self, index: int, command: Any) -> Result[Any, Failure]:
        match command:
            case EditCommand():
                return self._edit(command)
            case AssignCommand():
                assigned = AssignedModels(index, command.desired)
                self.assignments[command.server_id] = assigned
                return Success(assigned)
            case ApplyCommand():
                if command.version > self.applied.version:
                    self.applied = command
                return Success(self.applied)
            case DrainCommand(server_id, True):
                self.drained.add(server_id)
                return Success(index)
            case DrainCommand(server_id, False):
                self.drained.discard(server_id)
                return Success(index)
            case ClaimBeginCommand() | ClaimAttemptCommand() | ClaimFinishCommand():
                return self.claims.apply(index, command)
            case _:
                return Err(failure(Code.UNKNOWN_OPERATION))

    def _edit(self, command: EditCommand) -> Result[Any, Failure]:
        edit = Edit(
            edit_id=command.edit_id,
            op=EditOp(command.op),
            name=command.name,
            entry=entry_from_json(command.entry) if command.entry else None,
            expect_revision=command.expect_revision,
            operator=command.operator,
            wall_ms=command.wall_ms,
        )
        return apply_edit(self.catalogue, edit, command.max_memory_bytes)

    def document(self) -> RouteDocument | None:
        """Return the document of routes in force; None while there is none."""
        if self._parsed is None or self._parsed.version != self.applied.version:
            parsed = (
                parse_document(self.applied.document) if self.applied.version else None
            )
            self._parsed = parsed.unwrap() if parsed is not None else None
        return self._parsed

    def snapshot(self) -> bytes:
        """Return the whole state as JSON."""
        return orjson.dumps(
            {
                "catalogue": catalogue_to_json(self.catalogue),
                "assignments": {
                    server_id: [a.revision, [list(m) for m in a.desired]]
                    for server_id, a in self.assignments.items()
                },
                "drained": sorted(self.drained),
                "claims": self.claims.to_json(),
                "applied": [
                    self.applied.version,
                    base64.b64encode(self.applied.source).decode(),
                    base64.b64encode(self.applied.document).decode(),
                ],
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        value = orjson.loads(data)
        self.catalogue = catalogue_from_json(value["catalogue"])
        self.assignments = {
            server_id: AssignedModels(
                revision, tuple(DesiredModel(*model) for model in desired)
            )
            for server_id, (revision, desired) in value["assignments"].items()
        }
        self.drained = set(value["drained"])
        self.claims = ClaimTable.from_json(value["claims"])
        version, *contents = value.get("applied", [0, "", ""])
        self.applied = ApplyCommand(version, *map(base64.b64decode, contents))
        self.on_change()
