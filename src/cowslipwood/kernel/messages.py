"""The messages that keepers exchange with agents, entries, operators and each other.

``schema/control.capnp`` and ``schema/claims.capnp`` describe the fields.
"""

from typing import NamedTuple

from .wire import message

__all__ = [
    "N_QUEUED_WHEN_DOWN",
    "Ack",
    "Allowance",
    "AllowanceGrant",
    "AllowanceNeed",
    "AllowanceRequest",
    "Announce",
    "AppliedDocument",
    "ApplyDocument",
    "AgentLoad",
    "AgentReport",
    "Assignment",
    "BegunStream",
    "AttemptEnd",
    "AttemptQuery",
    "CatalogueUpdate",
    "ClaimAttempt",
    "ClaimBegin",
    "ClaimFinish",
    "ClaimState",
    "CrashEvidence",
    "DemandSample",
    "DesiredModel",
    "DocumentUpdate",
    "DocumentVersion",
    "DocumentVersionRequest",
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
    "SendPermitRequest",
    "SendPermits",
    "ServerEnd",
    "ServerLimit",
    "ServerLimits",
    "ServerView",
    "StreamVersion",
    "StreamVersionRequest",
    "StreamsBegun",
    "Welcome",
]


# Queue length that `FleetLoad` reports for a server that seems to be down. It is
# larger than the queue of any working engine, so entries send a request to such a
# server only if there is no other.
N_QUEUED_WHEN_DOWN = 10_000


@message("control")
class Hello(NamedTuple):
    """The first message on a connection; identifies the process that opened it."""

    role: str
    peer_id: str
    incarnation: str
    zone: str
    token: str


@message("control")
class Welcome(NamedTuple):
    """A keeper's reply to a valid `Hello`."""

    keeper_id: str
    term: int
    leader_addr: str


@message("control")
class Refused(NamedTuple):
    """A reply that reports the failure of a request, with its result code."""

    code: int
    message: str
    retry_after_ms: int = 0
    leader_addr: str = ""
    detail: bytes = b""


@message("control")
class Resident(NamedTuple):
    """A model that occupies memory on a backend server."""

    model: str
    version: str
    state: str
    memory_bytes: int


@message("control")
class AgentReport(NamedTuple):
    """An agent's periodic report of its server's state."""

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
    """An agent's periodic report while nothing except the server's load has changed."""

    server_id: str
    incarnation: str
    n_in_flight: int
    n_queued: int
    wait_ms: float


@message("control")
class DesiredModel(NamedTuple):
    """A model that a backend server is to have in memory."""

    name: str
    version: str
    kind: str
    base: str
    memory_bytes: int


@message("control")
class Assignment(NamedTuple):
    """All models that one backend server is to have in memory.

    The assignment with the highest term and, within a term, the highest revision is
    the current one.
    """

    server_id: str
    term: int
    revision: int
    desired: tuple[DesiredModel, ...]
    drained: bool


@message("control")
class PermitRequest(NamedTuple):
    """An agent asks for permission to load a model from the weight store."""

    server_id: str
    model: str


@message("control")
class PermitGrant(NamedTuple):
    """The leader permits one load, which must begin within `valid_ms`."""

    permit_id: int
    valid_ms: int


@message("control")
class PermitRelease(NamedTuple):
    """An agent reports that the load under a permit has ended."""

    permit_id: int
    server_id: str


@message("control")
class CatalogueUpdate(NamedTuple):
    """The catalogue entries that changed, or all of them."""

    revision: int
    full: bool
    entries: tuple[bytes, ...]
    deleted: tuple[str, ...]


@message("control")
class ServerView(NamedTuple):
    """The state of one backend server, as entries use it."""

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
    software_version: str = ""


@message("control")
class RoutingUpdate(NamedTuple):
    """The backend servers that changed, or all of them."""

    full: bool
    servers: tuple[ServerView, ...]
    removed: tuple[str, ...]


@message("control")
class EntryPlace(NamedTuple):
    """The number of live entry hosts and the receiver's rank among them, from 0."""

    n_entries: int
    rank: int


@message("control")
class DemandSample(NamedTuple):
    """Demand for one model since the entry's last report.

    `waiting` is the number of requests that are in flight at a server and have not had
    their first event. `target_ms` is the shortest target of their routes, 0 when no
    route has one. `late_share` is the share of the answered requests whose first event
    or longest pause between events took longer than the route's targets.
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
    """A server that has asked the sender's host to send no requests for some time."""

    server_id: str
    for_ms: float


@message("control")
class EntryReport(NamedTuple):
    """An entry's periodic report of its state and of the demand."""

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
    """A reply without content; `revision` is the sender's catalogue revision."""

    revision: int


@message("control")
class OperatorRequest(NamedTuple):
    """An operator's edit or query."""

    op: str
    name: str
    body: bytes
    edit_id: str
    expect_revision: int
    operator_token: str


@message("control")
class OperatorReply(NamedTuple):
    """The reply to an `OperatorRequest`."""

    body: bytes
    revision: int


@message("control")
class ApplyDocument(NamedTuple):
    """An operator replaces the whole document of routes.

    `source` is the document as the operator sent it, which `ReadDocument` returns
    unchanged; `document` is the form that entries read.
    """

    version: int
    source: bytes
    document: bytes
    operator_token: str


@message("control")
class ReadDocument(NamedTuple):
    """An operator asks for the document of routes in force."""


@message("control")
class AppliedDocument(NamedTuple):
    """The document of routes in force; version 0 while none has been applied."""

    version: int
    source: bytes


@message("control")
class DocumentUpdate(NamedTuple):
    """The leader sends an entry the document in force, compressed with zlib.

    `needs_key` says whether requests need a customer's key, also where the document has
    no customers.
    """

    version: int
    document: bytes
    needs_key: bool = False


@message("control")
class DocumentVersionRequest(NamedTuple):
    """An entry asks which version of the document of routes is in force."""


@message("control")
class DocumentVersion(NamedTuple):
    """The version in force when the question arrived; 0 while there is no document."""

    version: int


@message("control")
class KeepersUpdate(NamedTuple):
    """The leader sends the current addresses of the keepers."""

    addrs: tuple[str, ...]


@message("control")
class ServerEnd(NamedTuple):
    """The end of a server, with the requests that it cut and their prompts' parts.

    `server_id` includes the incarnation. The requests had no event of their answers;
    `begun_parts` are of those whose answers had begun, `awaited_parts` of the others.
    Both hold shared parts, and a mark for each request.
    """

    server_id: str
    begun_parts: tuple[str, ...]
    awaited_parts: tuple[str, ...]
    age_ms: float


@message("control")
class CrashEvidence(NamedTuple):
    """Ends of servers, and accused parts with which answers were completed.

    An entry sends to the leader what it has seen, and the leader to every entry what
    it has received.
    """

    ends: tuple[ServerEnd, ...]
    cleared_parts: tuple[str, ...]


@message("control")
class ServerLimit(NamedTuple):
    """What a server last said about its limit of requests per second.

    `rate_per_s` is the sum over all hosts; it is infinite if the limit has ended.
    """

    server_id: str
    incarnation: str
    rate_per_s: float
    age_ms: float


@message("control")
class ServerLimits(NamedTuple):
    """Limits that have changed: an entry to the leader, the leader to all entries."""

    limits: tuple[ServerLimit, ...]


@message("control")
class SendPermitRequest(NamedTuple):
    """An entry asks for permits to send requests to a limited server."""

    limit: ServerLimit
    n_wanted: int
    urgency_rank: int


@message("control")
class SendPermits(NamedTuple):
    """The permits that the leader grants.

    Each is for one request, sent within `PERMIT_LIFE_MS` of the entry's question. With
    none granted, `next_ms` is the time until the next one, and `retry_after_ms` the
    time until those who asked before have theirs.
    """

    n_granted: int
    next_ms: float
    retry_after_ms: float


@message("control")
class AllowanceNeed(NamedTuple):
    """What an entry needs of one customer's limit, and what it has of it.

    `held` and `used` are totals, so that the leader sees what has come back or has
    never arrived, and a question that is lost or repeated changes nothing in that.
    `unpaid` is the part of both that no leader has granted.
    """

    customer: str
    wanted: float
    least: float
    held: float
    used: float
    unpaid: float


@message("control")
class AllowanceRequest(NamedTuple):
    """An entry asks for parts of the limits of its customers."""

    incarnation: str
    number: int
    needs: tuple[AllowanceNeed, ...]


@message("control")
class Allowance(NamedTuple):
    """A part of a customer's limit, valid for a short time from the question for it.

    With nothing granted, `next_ms` is the time until there is enough.
    """

    customer: str
    granted: float
    next_ms: float
    use_per_s: float


@message("control")
class AllowanceGrant(NamedTuple):
    """The leader's answer to an `AllowanceRequest`."""

    allowances: tuple[Allowance, ...]


@message("control")
class BegunStream(NamedTuple):
    """A stream that a client may resume, by the attempt that brought its first event.

    `version` is that of the server's software.
    """

    service: str
    request_id: str
    version: str


@message("control")
class StreamsBegun(NamedTuple):
    """An entry reports streams of services whose servers have several versions."""

    streams: tuple[BegunStream, ...]


@message("control")
class StreamVersionRequest(NamedTuple):
    """An entry asks which software version began a stream that it does not know."""

    service: str
    request_id: str


@message("control")
class StreamVersion(NamedTuple):
    """The version that began a stream, if it is certain."""

    version: str
    is_known: bool


@message("control")
class FleetLoad(NamedTuple):
    """The load that engines reported, and the age of the list that contains them.

    The tuples have one item for each server, in the same order. A server that seems to
    be down has the queue length `N_QUEUED_WHEN_DOWN`. `kv_percents` are the used
    percentages of the servers' KV caches.
    """

    list_age_ms: float
    server_ids: tuple[str, ...]
    n_running: tuple[int, ...]
    n_queued: tuple[int, ...]
    kv_percents: tuple[int, ...]


@message("control")
class Announce(NamedTuple):
    """A keeper without a log asks to become a member.

    `is_initial` says that it was started together with the first keepers, so that it
    does not replace a member.
    """

    replica_id: str
    addr: str
    is_initial: bool = False


@message("control")
class HolderRequest(NamedTuple):
    """An entry needs a server that has a model and, if one is named, an adapter.

    `patience_ms` is the time that its caller waits for the first event; 0 when that
    is not known.
    """

    service: str
    model: str
    adapter: str
    zone: str
    patience_ms: float = 0.0


@message("control")
class HolderReply(NamedTuple):
    """The server that has what was asked for, and the models that are ready on it."""

    server_id: str
    ready: tuple[str, ...]


@message("claims")
class ClaimBegin(NamedTuple):
    """An entry asks for a key's state and, if the request may run, for an attempt."""

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
    """An entry asks for another attempt under a claim that it has opened."""

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
    """An entry asks an agent how an attempt ended, and voids it if it has not begun."""

    attempt_id: str
    server_id: str
    incarnation: str
    expires_ms: int
    void_after_ms: int
    wait_ms: int


@message("claims")
class AttemptEnd(NamedTuple):
    """An agent's reply to an `AttemptQuery`."""

    state: str
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    kept: bool = False
