"""The replicated state: catalogue, assignments, drains, routes and claims."""

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
from ..software_versions import DepartedVersion, ServiceVersions
from ._claim_table import ClaimTable
from ._commands import (
    ApplyCommand,
    AssignCommand,
    ClaimAttemptCommand,
    ClaimBeginCommand,
    ClaimFinishCommand,
    DrainCommand,
    EditCommand,
    VersionsCommand,
    decode_command,
)

__all__ = ["AssignedModels", "KeeperStateMachine"]


# The applied document before the first one; version 0 means that there is none.
NO_DOCUMENT = ApplyCommand(0, b"", b"")


class AssignedModels(NamedTuple):
    """The models that one backend server is to hold.

    Parameters
    ----------
    revision : int
        Log index of the command that assigned the models; 0 before the first.
    desired : tuple of DesiredModel
    """

    revision: int
    desired: tuple[DesiredModel, ...]


class KeeperStateMachine:
    """Applies committed commands, with the same result on every keeper."""

    def __init__(self):
        self.catalogue = empty_catalogue()
        self.assignments: dict[str, AssignedModels] = {}
        self.drained: set[str] = set()
        self.claims = ClaimTable()
        self.versions: dict[str, ServiceVersions] = {}
        self.applied_document = NO_DOCUMENT
        self._parsed_document: RouteDocument | None = None
        self.on_change = lambda: None

    def apply(self, index: int, command: bytes) -> Result[Any, Failure]:
        """Apply one committed command and return its result."""
        decoded = decode_command(command)
        if isinstance(decoded, Err):
            return decoded
        result = self._apply_decoded(index, decoded.unwrap())
        self.on_change()
        return result

    def _apply_decoded(self, index: int, command: Any) -> Result[Any, Failure]:
        match command:
            case EditCommand():
                return self._apply_edit_command(command)
            case AssignCommand():
                assigned = AssignedModels(index, command.desired)
                self.assignments[command.server_id] = assigned
                return Success(assigned)
            case ApplyCommand():
                if command.version > self.applied_document.version:
                    # A key that was taken away must not work again because the
                    # customers are left out altogether.
                    needs_key = command.needs_key or self.applied_document.needs_key
                    self.applied_document = command._replace(needs_key=needs_key)
                return Success(self.applied_document)
            case DrainCommand(server_id, True):
                self.drained.add(server_id)
                return Success(index)
            case DrainCommand(server_id, False):
                self.drained.discard(server_id)
                return Success(index)
            case VersionsCommand(service, versions, wall_ms):
                known = self.versions.get(service, ServiceVersions())
                self.versions[service] = known.change(versions, wall_ms)
                return Success(self.versions[service])
            case ClaimBeginCommand() | ClaimAttemptCommand() | ClaimFinishCommand():
                return self.claims.apply(index, command)
            case _:
                return Err(failure(Code.UNKNOWN_OPERATION))

    def _apply_edit_command(self, command: EditCommand) -> Result[Any, Failure]:
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

    def get_route_document(self) -> RouteDocument | None:
        """Return the document of routes that is in force, or None."""
        if (
            self._parsed_document is None
            or self._parsed_document.version != self.applied_document.version
        ):
            parsed = (
                parse_document(self.applied_document.document)
                if self.applied_document.version
                else None
            )
            self._parsed_document = (
                parsed.unwrap().set_key_need(self.applied_document.needs_key)
                if parsed is not None
                else None
            )
        return self._parsed_document

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
                "versions": {
                    service: [list(known.current), list(map(list, known.departed))]
                    for service, known in self.versions.items()
                },
                "applied": [
                    self.applied_document.version,
                    base64.b64encode(self.applied_document.source).decode(),
                    base64.b64encode(self.applied_document.document).decode(),
                ],
                "applied_needs_key": self.applied_document.needs_key,
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
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
        self.versions = {
            service: ServiceVersions(
                tuple(current), tuple(DepartedVersion(*each) for each in departed)
            )
            for service, (current, departed) in value.get("versions", {}).items()
        }
        version, *contents = value.get("applied", [0, "", ""])
        self.applied_document = ApplyCommand(
            version,
            *map(base64.b64decode, contents),
            needs_key=value.get("applied_needs_key", False),
        )
        self._parsed_document = None
        self.on_change()
