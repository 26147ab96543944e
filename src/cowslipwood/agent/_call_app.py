"""The agent's HTTP interface: calls from entries to the backend server.

Each call is admitted here or refused as not run, and its answer is passed on
as it comes.
"""

import itertools
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import Any, NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms, wall_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.http import Request, read_request, send_failure, send_response
from ..kernel.messages import AttemptQuery
from ..kernel.metrics import Metrics
from ..kernel.tokens import token_matches
from ..kernel.wire import decode_record, encode_record
from ._admission import AdmissionController, AdmissionTicket, CallClass, CallSpec
from ._attempts import AttemptTable
from ._call_request import parse_model_call, parse_scheduling_headers
from ._forward import BackendCall, Forwarder, ForwardOutcome, ForwardResult
from ._models import ModelTable
from ._pause_detector import PauseDetector
from .engines import EngineDialect

__all__ = ["CallApp", "EngineContext"]

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 500
CANCEL_RETRY_MS = 200
VOID_PATH = "/attempts/void"
_DROPPED_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
    )
)
_OWN_PREFIX = "x-cowslip-"


class AnswerCutError(ConnectionError):
    """Raised when an answer ends early, to break the connection to the entry."""


class EngineContext(NamedTuple):
    """What calls of models need beside an engine.

    Parameters
    ----------
    dialect : EngineDialect
    models : ModelTable
    kv_bytes : callable
        Returns the KV cache that a prompt of so many bytes with an answer of
        so many tokens takes at most.
    """

    dialect: EngineDialect
    models: ModelTable
    kv_bytes: Callable[[int, int], int]


class _Admitted(NamedTuple):
    """A call that may begin once it has its place."""

    call: BackendCall
    spec: CallSpec
    use: Callable[[], AbstractContextManager]


class CallApp:
    """Serves calls from entries, an ASGI application.

    Parameters
    ----------
    forwarder : Forwarder
    server_id : str
    cluster_token : str
    engine : EngineContext or None
        None beside a plain service.
    admission : AdmissionController
    attempts : AttemptTable
    metrics : Metrics
    """

    def __init__(
        self,
        forwarder: Forwarder,
        server_id: str,
        cluster_token: str,
        engine: EngineContext | None,
        admission: AdmissionController,
        attempts: AttemptTable,
        metrics: Metrics,
    ):
        self._forwarder = forwarder
        self._server_id = server_id
        self._cluster_token = cluster_token
        self._engine = engine
        self._admission = admission
        self._attempts = attempts
        self._metrics = metrics
        self._pause_detector = PauseDetector(monotonic_ms())
        self._call_numbers = itertools.count(1)
        self._buffered_bytes = 0
        self._cancels: list[tuple[str, AdmissionTicket]] = []
        self._cancel_due = anyio.Event()
        self.n_open = 0
        self.last_refusal_ms = 0.0
        self.is_leaving = False
        self.is_drained = False

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one call."""
        arrived_ms = self._pause_detector.earliest_arrival_ms(monotonic_ms())
        self.n_open += 1
        try:
            await self._serve(scope, receive, send, arrived_ms)
        finally:
            self.n_open -= 1

    def tick(self, now_ms: float) -> None:
        """Note that the process runs, and let waiting calls begin."""
        self._pause_detector.tick(now_ms)
        self._admission.start_queued_calls(now_ms)

    async def cancel_cut_calls(self) -> None:
        """Free the KV cache of calls that were cut, once the engine has ended them."""
        while True:
            await self._cancel_due.wait()
            self._cancel_due = anyio.Event()
            while self._cancels:
                call_id, ticket = self._cancels[0]
                if isinstance(await self._engine.dialect.cancel(call_id), Err):
                    self._metrics.count("cancel_retries_total", reason="UNREACHABLE")
                    await anyio.sleep(CANCEL_RETRY_MS / 1000)
                    continue
                self._cancels.pop(0)
                self._admission.release_kv(ticket)

    async def _serve(
        self, scope: dict, receive: Any, send: Any, arrived_ms: float
    ) -> None:
        if not self._is_trusted(scope):
            await self._refuse(send, failure(Code.BAD_TOKEN))
            return
        n_bytes = _declared_bytes(scope)
        if self._buffered_bytes + n_bytes > MAX_BUFFERED_BYTES:
            fault = failure(Code.AGENT_OVERLOADED, "too many bytes", RETRY_AFTER_MS)
            await self._refuse(send, fault)
            return
        self._buffered_bytes += n_bytes
        try:
            await self._serve_trusted(scope, receive, send, arrived_ms)
        finally:
            self._buffered_bytes -= n_bytes

    async def _serve_trusted(
        self, scope: dict, receive: Any, send: Any, arrived_ms: float
    ) -> None:
        read = Err(failure(Code.DEADLINE_PASSED, "the body did not come"))
        with anyio.move_on_after(BODY_TIMEOUT_MS / 1000):
            read = await read_request(scope, receive, MAX_BODY_BYTES)
        if isinstance(read, Err):
            await self._refuse(send, read.failure())
            return
        request = read.unwrap()
        if request.path == VOID_PATH:
            await self._query_attempt(request, send)
            return
        admitted = self._admit(request, arrived_ms)
        if isinstance(admitted, Err):
            await self._refuse_call(request, send, admitted.failure())
            return
        await self._begin(request, admitted.unwrap(), receive, send)

    async def _begin(
        self, request: Request, admitted: _Admitted, receive: Any, send: Any
    ) -> None:
        """Wait for a place, then forward the call."""
        entered = await self._enter(admitted.spec, receive)
        if isinstance(entered, Err):
            await self._refuse_call(request, send, entered.failure())
            return
        ticket = entered.unwrap()
        begun = self._attempts.begin(request.headers, wall_ms())
        if isinstance(begun, Err):
            self._admission.release_all(ticket)
            await self._refuse(send, begun.failure())
            return
        with admitted.use():
            await self._run(begun.unwrap(), admitted.call, ticket, receive, send)

    async def _enter(
        self, spec: CallSpec, receive: Any
    ) -> Result[AdmissionTicket, Failure]:
        """Wait for a place, unless the caller goes away first.

        Nothing is awaited after the ticket is confirmed, so that it still
        holds when the call is sent.
        """
        offered = self._admission.submit(spec, monotonic_ms())
        if isinstance(offered, Err):
            return offered
        ticket = offered.unwrap()
        if not ticket.decided.is_set():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_when_gone, receive, tasks.cancel_scope)
                await self._admission.wait_until_decided(ticket)
                tasks.cancel_scope.cancel()
        if not ticket.decided.is_set() or ticket.is_withdrawn:
            return Err(failure(Code.PEER_GONE))
        return self._admission.recheck(ticket, monotonic_ms())

    async def _run(
        self,
        attempt: Any,
        call: BackendCall,
        ticket: AdmissionTicket,
        receive: Any,
        send: Any,
    ) -> None:
        """Forward a call, and record its answer where it is an attempt."""
        end = ForwardResult(ForwardOutcome.CANCELLED)
        call_id = f"{self._server_id}-{next(self._call_numbers)}"
        if self._engine is not None:
            call.headers.append(("x-request-id", call_id))
        try:
            if attempt is None:
                end = await self._forwarder.forward(
                    call, send, self.report, lambda: _until_gone(receive)
                )
            else:
                with attempt:
                    end = await self._forwarder.forward(
                        call, attempt.make_recording_send(send), self.report, None
                    )
        finally:
            self._end(call_id, ticket, end)
        if end.outcome is ForwardOutcome.CUT:
            raise AnswerCutError(call.target)

    def _end(self, call_id: str, ticket: AdmissionTicket, end: ForwardResult) -> None:
        self._metrics.count("calls_total", outcome=end.outcome.value)
        if end.outcome is ForwardOutcome.WHOLE and end.status < 400:
            n_tokens = ticket.spec.n_new_tokens
            self._admission.time_estimate.add_sample(
                end.first_ms, end.rest_ms, n_tokens
            )
        self._admission.release_slot(ticket)
        ended = end.outcome in (
            ForwardOutcome.WHOLE,
            ForwardOutcome.NOT_SENT,
            ForwardOutcome.REFUSED,
        )
        if ended or self._engine is None:
            self._admission.release_kv(ticket)
            return
        self._cancels.append((call_id, ticket))
        self._cancel_due.set()

    async def _query_attempt(self, request: Request, send: Any) -> None:
        decoded = decode_record(AttemptQuery, request.body)
        if isinstance(decoded, Err):
            await self._refuse(send, decoded.failure())
            return
        ended = await self._attempts.query(decoded.unwrap(), wall_ms())
        if isinstance(ended, Err):
            await self._refuse(send, ended.failure())
            return
        await send_response(send, 200, {}, encode_record(ended.unwrap()))

    async def _refuse_call(self, request: Request, send: Any, fault: Failure) -> None:
        """Refuse a call; where it is an attempt, it will not begin later."""
        fault = self._attempts.refuse(request.headers, fault, wall_ms())
        await self._refuse(send, fault)

    async def _refuse(self, send: Any, fault: Failure) -> None:
        self.last_refusal_ms = monotonic_ms()
        self._metrics.count("refusals_total", reason=fault.code.name)
        headers = self.report()
        if self.is_leaving:
            headers["connection"] = "close"
        await send_failure(send, fault, headers)

    def report(self) -> dict[str, str]:
        """Return the header that tells an entry of the load here."""
        admission = self._admission
        value = {
            "n_in_flight": admission.n_in_flight,
            "n_queued": admission.n_queued,
            "wait_ms": round(
                admission.predict_wait_ms(monotonic_ms(), CallClass.STANDARD), 1
            ),
            "knee_in_flight": admission.knee_in_flight,
        }
        return {"x-cowslip-report": orjson.dumps(value).decode()}

    def _is_trusted(self, scope: dict) -> bool:
        given = dict(scope["headers"]).get(b"authorization", b"").decode("latin-1")
        return token_matches(self._cluster_token, given.removeprefix("Bearer "))

    def _admit(self, request: Request, arrived_ms: float) -> Result[_Admitted, Failure]:
        if self.is_leaving or self.is_drained:
            return Err(failure(Code.AGENT_LEAVING, "", RETRY_AFTER_MS))
        if request.headers.get("x-cowslip-server", "") != self._server_id:
            return Err(failure(Code.WRONG_SERVER, "", RETRY_AFTER_MS))
        terms = parse_scheduling_headers(request, arrived_ms)
        if isinstance(terms, Err):
            return terms
        if self._engine is not None:
            return self._admit_model(request, *terms.unwrap())
        spec = CallSpec(*terms.unwrap(), 0, 0, lambda: True)
        return Success(
            _Admitted(_backend_call(request, request.body), spec, nullcontext)
        )

    def _admit_model(
        self, request: Request, call_class: CallClass, deadline_ms: float
    ) -> Result[_Admitted, Failure]:
        engine = self._engine
        parsed = parse_model_call(request, call_class)
        if isinstance(parsed, Err):
            return parsed
        call = parsed.unwrap()
        if not engine.models.is_servable(call.key):
            return Err(failure(Code.MODEL_NOT_READY, "", RETRY_AFTER_MS))
        spec = CallSpec(
            call_class,
            deadline_ms,
            call.n_tokens,
            engine.kv_bytes(call.n_prompt_bytes, call.max_tokens),
            lambda: engine.models.is_servable(call.key),
        )
        backend_call = _backend_call(request, orjson.dumps(call.body), "x-request-id")
        return Success(
            _Admitted(backend_call, spec, lambda: engine.models.count_call(call.key))
        )


def _backend_call(request: Request, sent: bytes, *dropped: str) -> BackendCall:
    """Return a call without the headers that concern only this hop."""
    headers = [
        (name, value)
        for name, value in request.headers.items()
        if name not in _DROPPED_HEADERS
        and name not in dropped
        and not name.startswith(_OWN_PREFIX)
    ]
    headers += [("host", "backend"), ("content-length", str(len(sent)))]
    return BackendCall(request.method, request.target, headers, sent)


def _declared_bytes(scope: dict) -> int:
    """Return how much memory the body may take, from its declared length."""
    headers = dict(scope["headers"])
    length = headers.get(b"content-length", b"")
    if b"transfer-encoding" in headers:
        return MAX_BODY_BYTES
    return min(int(length), MAX_BODY_BYTES) if length.isdigit() else 0


async def _until_gone(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_when_gone(receive: Any, scope: anyio.CancelScope) -> None:
    await _until_gone(receive)
    scope.cancel()
