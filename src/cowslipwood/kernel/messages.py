"""The messages between keepers and the agents, entries and operators.

Fields are described in ``schema/control.capnp`` and ``schema/claims.capnp``.
"""

from typing import NamedTuple

from .wire import message

__all__ = [
    "LOST_QUEUE",
    "Ack",
    "Announce",
    "AppliedDocument",
    "ApplyDocument",
    "AgentLoad",
    "AgentReport",
    "Assignment",
    "AttemptEnd",
    "AttemptQuery",
    "CatalogueUpdate",
    "ClaimAttempt",
    "ClaimBegin",
    "ClaimFinish",
    "ClaimState",
    "DemandSample",
    "DesiredModel",
    "DocumentUpdate",
    "EntryPlace",
    "EntryReport",
    "FleetLoad",
    "HeldOff",
    "HolderReply",
    "HolderRequest",
    "Hello",
    "KeepersUpdate",
    "OperatorReply",
    "OperatorRequest",
    "PermitGrant",
    "PermitRelease",
    "PermitRequest",
    "ReadDocument",
    "Refused",
    "Resident",
    "RoutingUpdate",
    "ServerView",
    "Welcome",
]


# More than any engine queues: entries use one that has it only where no other is.
LOST_QUEUE = 10_000


@message("control")
class Hello(NamedTuple):
    """The first message on a connection, from the side that opened it."""

    role: str
    peer_id: str
    incarnation: str
    zone: str
    token: str


@message("control")
class Welcome(NamedTuple):
    """A keeper's answer to a good `Hello`."""

    keeper_id: str
    term: int
    leader_addr: str


@message("control")
class Refused(NamedTuple):
    """A numbered refusal of a request."""

    code: int
    message: str
    retry_after_ms: int = 0
    leader_addr: str = ""
    detail: bytes = b""


@message("control")
class Resident(NamedTuple):
    """A model that takes memory on a backend server."""

    model: str
    version: str
    state: str
    memory_bytes: int


@message("control")
class AgentReport(NamedTuple):
    """An agent's heartbeat."""

    server_id: str
    incarnation: str
    zone: str
    http_addr: str
    kind: str
    service_name: str
    capacity_bytes: int
    committed_bytes: int
    leaving: bool
    catalogue_revision: int
    assignment_term: int
    assignment_revision: int
    residents: tuple[Resident, ...]
    n_in_flight: int
    n_queued: int
    wait_ms: float
    knee_in_flight: int
    reserved_bytes: int = 0


@message("control")
class AgentLoad(NamedTuple):
    """An agent's heartbeat while nothing but its load has changed."""

    server_id: str
    incarnation: str
    n_in_flight: int
    n_queued: int
    wait_ms: float


@message("control")
class DesiredModel(NamedTuple):
    """A model that a backend server is to hold."""

    name: str
    version: str
    kind: str
    base: str
    memory_bytes: int


@message("control")
class Assignment(NamedTuple):
    """All that one backend server is to hold, by term and revision."""

    server_id: str
    term: int
    revision: int
    desired: tuple[DesiredModel, ...]
    drained: bool


@message("control")
class PermitRequest(NamedTuple):
    """An agent asks for a load from the weight store."""

    server_id: str
    model: str


@message("control")
class PermitGrant(NamedTuple):
    """The leader allows one load, to begin within `valid_ms`."""

    permit_id: int
    valid_ms: int


@message("control")
class PermitRelease(NamedTuple):
    """The load under a permit has ended."""

    permit_id: int
    server_id: str


@message("control")
class CatalogueUpdate(NamedTuple):
    """Catalogue entries that changed, or all of them."""

    revision: int
    full: bool
    entries: tuple[bytes, ...]
    deleted: tuple[str, ...]


@message("control")
class ServerView(NamedTuple):
    """What entries know of one backend server."""

    server_id: str
    incarnation: str
    zone: str
    http_addr: str
    kind: str
    service_name: str
    leaving: bool
    ready: tuple[str, ...]
    n_in_flight: int
    n_queued: int
    wait_ms: float
    knee_in_flight: int


@message("control")
class RoutingUpdate(NamedTuple):
    """Backend servers that changed, or all of them."""

    full: bool
    servers: tuple[ServerView, ...]
    removed: tuple[str, ...]


@message("control")
class EntryPlace(NamedTuple):
    """The receiver's place among the live entry hosts, from 0."""

    n_entries: int
    rank: int


@message("control")
class DemandSample(NamedTuple):
    """Demand for one model since the entry's last report.

    `waiting` counts the requests in flight at a server before their first event,
    `target_ms` is the least of their routes' targets, 0 where none has one, and
    `late_share` the share of the answered ones whose first event or longest pause came
    later than the route's targets.
    """

    model: str
    arrivals_per_s: float
    in_flight: float
    missed_share: float
    waiting: float = 0.0
    target_ms: float = 0.0
    late_share: float = 0.0


@message("control")
class HeldOff(NamedTuple):
    """A server that has asked the sender's host for nothing more for a time."""

    server_id: str
    for_ms: float


@message("control")
class EntryReport(NamedTuple):
    """An entry's heartbeat."""

    entry_id: str
    incarnation: str
    zone: str
    http_addr: str
    leaving: bool
    catalogue_revision: int
    demand: tuple[DemandSample, ...]
    held_off: tuple[HeldOff, ...] = ()


@message("control")
class Ack(NamedTuple):
    """A plain answer; `revision` is the sender's catalogue revision."""

    revision: int


@message("control")
class OperatorRequest(NamedTuple):
    """An operator's edit or question."""

    op: str
    name: str
    body: bytes
    edit_id: str
    expect_revision: int
    operator_token: str


@message("control")
class OperatorReply(NamedTuple):
    """The answer to an `OperatorRequest`."""

    body: bytes
    revision: int


@message("control")
class ApplyDocument(NamedTuple):
    """An operator replaces the whole document of routes.

    `source` is what the operator sent, to be read back unchanged; `document`
    is what it means to the entries.
    """

    version: int
    source: bytes
    document: bytes
    operator_token: str


@message("control")
class ReadDocument(NamedTuple):
    """An operator reads the document in force."""


@message("control")
class AppliedDocument(NamedTuple):
    """The document in force; version 0 while none was applied."""

    version: int
    source: bytes


@message("control")
class DocumentUpdate(NamedTuple):
    """The leader tells an entry the document in force, compressed with zlib."""

    version: int
    document: bytes


@message("control")
class KeepersUpdate(NamedTuple):
    """The leader tells where the keepers are now."""

    addrs: tuple[str, ...]


@message("control")
class FleetLoad(NamedTuple):
    """The load of engines by their reports, and the age of the list they stand in.

    The tuples go together, one item for each server; one that seems to be down has
    `LOST_QUEUE` waiting. `kv_percents` say how much of the memory for tokens is held.
    """

    list_age_ms: float
    server_ids: tuple[str, ...]
    n_running: tuple[int, ...]
    n_queued: tuple[int, ...]
    kv_percents: tuple[int, ...]


@message("control")
class Announce(NamedTuple):
    """A keeper without a log asks to become a member.

    `is_initial` says that it started with the system, so it takes nobody's place.
    """

    replica_id: str
    addr: str
    is_initial: bool = False


@message("control")
class HolderRequest(NamedTuple):
    """An entry needs a server that holds a model, and an adapter if named.

    `patience_ms` is how long its caller waits for the first event; 0 when that is
    not known.
    """

    service: str
    model: str
    adapter: str
    zone: str
    patience_ms: float = 0.0


@message("control")
class HolderReply(NamedTuple):
    """The server that holds what was asked for, and what is ready there now."""

    server_id: str
    ready: tuple[str, ...]


@message("claims")
class ClaimBegin(NamedTuple):
    """An entry asks for a key's state and, where it may run, for an attempt."""

    key: str
    digest: str
    entry_id: str
    key_time_ms: int
    holder: str
    server_id: str = ""
    incarnation: str = ""
    agent_addr: str = ""


@message("claims")
class ClaimAttempt(NamedTuple):
    """An entry asks for the next attempt of a claim that it has begun."""

    key: str
    attempt: int
    server_id: str
    incarnation: str
    agent_addr: str
    epoch: int
    holder: str


@message("claims")
class ClaimFinish(NamedTuple):
    """An entry records how an attempt ended."""

    key: str
    attempt: int
    outcome: str
    status: int
    headers: bytes
    body: bytes
    epoch: int
    kept: bool = True


@message("claims")
class ClaimState(NamedTuple):
    """The recorded state of a key."""

    key: str
    status: str
    attempt: int = 0
    server_id: str = ""
    incarnation: str = ""
    agent_addr: str = ""
    answer_status: int = 0
    answer_headers: bytes = b""
    answer_body: bytes = b""
    answer_kept: bool = False
    epoch: int = 0
    holder: str = ""
    expires_ms: int = 0


@message("claims")
class AttemptQuery(NamedTuple):
    """An entry asks an agent how an attempt ended, and voids one not begun."""

    attempt_id: str
    server_id: str
    incarnation: str
    expires_ms: int
    void_after_ms: int
    wait_ms: int


@message("claims")
class AttemptEnd(NamedTuple):
    """An agent's answer to an `AttemptQuery`."""

    state: str
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    kept: bool = False
