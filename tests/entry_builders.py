"""Builders of an entry's components, with a dispatcher that runs a test's script."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.catalogue import CatalogueEntry, parse_entry
from cowslipwood.entry import front_ends  # noqa: F401
from cowslipwood.entry._components import EntryComponents
from cowslipwood.entry.choosing._backend import LoadReport
from cowslipwood.entry.choosing._router import Router
from cowslipwood.entry.choosing._view import FleetView, make_entry_key
from cowslipwood.entry.claims._claims import Claims
from cowslipwood.entry.metering._meters import RequestMeters
from cowslipwood.entry.receiving._call import Call, make_call
from cowslipwood.entry.receiving._caller_app import CallerApp, RequestLimits
from cowslipwood.entry.receiving._limit_shares import LimitShares
from cowslipwood.entry.sending._dispatcher import Answer, AnswerCutError, Attempt
from cowslipwood.keeper._claim_table import ClaimTable
from cowslipwood.keeper._commands import (
    ClaimAttemptCommand,
    ClaimBeginCommand,
    ClaimFinishCommand,
)
from cowslipwood.kernel.clock import monotonic_ms, wall_ms
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.messages import (
    CatalogueUpdate,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    ClaimState,
    RoutingUpdate,
    ServerView,
)
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.kernel.registry import PluginKind, lookup, plugin_names

from .builders import model_value, service_value

__all__ = [
    "FakeCaller",
    "FakeDispatcher",
    "make_engine_view",
    "make_entry",
    "make_entry_call",
    "make_app",
    "make_router",
    "make_components",
    "make_view",
    "make_refusal",
    "make_service_answer",
    "make_service_view",
    "make_stream_answer",
]

# Milliseconds for which `FakeKeepers` keep a claim, longer than a test runs.
CLAIM_KEEP_MS = 60_000

Script = Callable[[ServerView, Attempt], Result[Answer, Failure]]


def make_entry(value: dict[str, Any]) -> CatalogueEntry:
    """Return the catalogue entry described by a JSON value."""
    return parse_entry(value).unwrap()


def make_engine_view(server_id: str, *models: str, **fields: Any) -> ServerView:
    """Return the view of an engine on which version 1 of each model is ready."""
    view = ServerView(
        server_id=server_id,
        incarnation="i1",
        zone="zone-1",
        http_addr=f"{server_id}:1",
        kind="engine",
        service_name="",
        leaving=False,
        ready=tuple(f"{model}@1" for model in models),
        n_in_flight=0,
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=16,
    )
    return view._replace(**fields)


def make_service_view(server_id: str, service: str, **fields: Any) -> ServerView:
    """Return the view of a plain service."""
    return make_engine_view(server_id, kind="service", service_name=service, **fields)


def make_view(
    values: list[dict[str, Any]], servers: list[ServerView], now_ms: float = 0.0
) -> FleetView:
    """Return the entry's view of a catalogue and of servers."""
    view = FleetView()
    view.keeper_message_at_ms = now_ms
    entries = tuple(orjson.dumps(value) for value in values)
    view.update_catalogue(CatalogueUpdate(1, True, entries, ()))
    view.update_routing(RoutingUpdate(True, tuple(servers), ()), now_ms)
    return view


def make_router(
    view: FleetView,
    policy: str = "sampled_load",
    seed: int = 1,
    now_ms: float = 0.0,
    metrics: Metrics | None = None,
) -> Router:
    """Return a router with a seeded random generator."""
    chosen = lookup(PluginKind.ROUTING_POLICY, policy)()
    rng = random.Random(seed)
    return Router(view, chosen, "zone-1", metrics or Metrics("entry"), rng, now_ms)


def make_entry_call(
    entry: CatalogueEntry, now_ms: float = 0.0, deadline_ms: float = float("inf")
) -> Call:
    """Return a call that has just arrived."""
    return make_call("r1", entry, make_entry_key(entry), 0, now_ms, deadline_ms)


def make_components(view: FleetView, dispatcher: Any) -> EntryComponents:
    """Return the components of an entry around a dispatcher, on the real clock."""
    metrics = Metrics("entry")
    now_ms = monotonic_ms()
    return EntryComponents(
        view=view,
        router=make_router(view, now_ms=now_ms, metrics=metrics),
        dispatcher=dispatcher,
        limit_shares=LimitShares(),
        meters=RequestMeters(metrics, now_ms),
        metrics=metrics,
        rng=random.Random(1),
        now_ms=monotonic_ms,
        claims=FakeClaims(metrics),
    )


def make_app(
    script: Script,
    values: list[dict[str, Any]] | None = None,
    servers: list[ServerView] | None = None,
    limits: RequestLimits | None = None,
) -> CallerApp:
    """Return an entry's ASGI application with a scripted dispatcher."""
    values = values or [model_value("m1"), service_value("rosters")]
    servers = servers or [
        *(make_engine_view(f"s{i}", "m1") for i in range(3)),
        make_service_view("s3", "rosters"),
        make_service_view("s4", "rosters"),
    ]
    view = make_view(values, servers, monotonic_ms())
    components = make_components(view, FakeDispatcher(script))
    names = plugin_names(PluginKind.FRONT_END)
    all_front_ends = [lookup(PluginKind.FRONT_END, name)() for name in names]
    return CallerApp(components, all_front_ends, limits)


class FakeKeepers:
    """Applies claim messages to a table in place of the link to the keepers."""

    def __init__(self):
        self.table = ClaimTable()
        self.n_commands = 0
        self.statuses: list[str] = []

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Apply a claim message immediately."""
        self.n_commands += 1
        match value:
            case ClaimBegin():
                command = ClaimBeginCommand(value, wall_ms(), CLAIM_KEEP_MS, 1_000)
            case ClaimAttempt():
                command = ClaimAttemptCommand(value, wall_ms())
            case ClaimFinish():
                command = ClaimFinishCommand(value, wall_ms(), 10_000, 1_000_000)
        applied = self.table.apply(self.n_commands, command)
        self.statuses.append(applied.map(lambda state: state.status).value_or(""))
        return applied


class UnreachableAgents:
    """Agents that fail each query about an attempt."""

    async def query(self, agent_addr: str, query: Any) -> Result[Any, Failure]:
        """Fail with PEER_GONE."""
        return Err(failure(Code.PEER_GONE))


class FakeClaims(Claims):
    """Claims over `FakeKeepers`; background steps run before the next claim."""

    def __init__(self, metrics: Metrics):
        super().__init__("e1", FakeKeepers(), UnreachableAgents(), metrics)
        self._steps: list[tuple] = []

    def run_in_background(self, step: Any, *args: Any) -> None:
        """Queue the step until the next claim."""
        self._steps.append((step, args))

    async def begin(self, begin: ClaimBegin) -> ClaimState:
        """Run the queued steps, then claim the key."""
        while self._steps:
            step, args = self._steps.pop(0)
            await step(*args)
        return await super().begin(begin)


class FakeDispatcher:
    """Records each attempt and answers it with the result of a script.

    Attributes
    ----------
    sent : list of (str, Attempt)
        The attempts, each with the id of its server.
    n_open : int
        Attempts whose answers are still being read.
    """

    def __init__(self, script: Script):
        self._script = script
        self.sent: list[tuple[str, Attempt]] = []
        self.n_open = 0

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Yield the script's result."""
        self.sent.append((server.server_id, attempt))
        self.n_open += 1
        try:
            yield self._script(server, attempt)
        finally:
            self.n_open -= 1


def make_refusal(code: Code, retry_after_ms: int = 0) -> Result[Answer, Failure]:
    """Return the failure that an agent's refusal becomes."""
    return Err(failure(code, "", retry_after_ms))


def make_stream_answer(
    *chunks: bytes, is_cut: bool = False, is_endless: bool = False
) -> Result[Answer, Failure]:
    """Return an engine's answer whose body arrives in chunks.

    Parameters
    ----------
    chunks : bytes
    is_cut : bool
        Whether the connection breaks after the last chunk.
    is_endless : bool
        Whether the connection stays open after the last chunk without any data.
    """

    async def iterate_chunks() -> AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk
        if is_endless:
            await anyio.sleep_forever()
        if is_cut:
            raise AnswerCutError(failure(Code.ANSWER_CUT))

    load_report = LoadReport(1, 0, 0.0, 16)
    return Success(Answer(200, {"content-type": "x"}, iterate_chunks(), load_report))


def make_service_answer(
    status: int, *chunks: bytes, is_cut: bool = False
) -> Result[Answer, Failure]:
    """Return a plain service's answer whose body arrives in chunks."""
    return make_stream_answer(*chunks, is_cut=is_cut).map(
        lambda answer: answer._replace(status=status)
    )


class FakeCaller:
    """Calls an ASGI application and records its answer.

    Setting `disconnected` closes the caller's connection.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ended = False
        self.disconnected = anyio.Event()

    async def call(
        self,
        app: Any,
        method: str,
        path: str,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> "FakeCaller":
        """Send one request and read its answer."""
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode("utf-8", "replace"),
            "query_string": b"",
            "headers": headers or [],
        }
        events = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict[str, Any]:
            if events:
                return events.pop()
            await self.disconnected.wait()
            return {"type": "http.disconnect"}

        await app(scope, receive, self._send)
        return self

    @property
    def error(self) -> dict[str, Any]:
        """The error object in the body."""
        return orjson.loads(self.body)["error"]

    def events(self) -> list[bytes]:
        """Return the data of each server-sent event."""
        events = self.body.split(b"\n\n")[:-1]
        return [event.rpartition(b"data: ")[2] for event in events]

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        self.body += message["body"]
        self.ended = not message.get("more_body")
