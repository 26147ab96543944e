"""HTTP interface of the agent for calls from entries to the backend server.

Each call is either admitted or refused as not run. The answer of an admitted call is
forwarded as it arrives.
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

# Largest body of one call, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Largest total size of the bodies of all open calls, in bytes.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
# Longest time in which the body of a call has to arrive, in milliseconds.
BODY_TIMEOUT_MS = 10_000
# Retry delay in refusals that know no better one, in milliseconds.
RETRY_AFTER_MS = 500
# Delay before a failed cancellation at the engine is repeated, in milliseconds.
CANCEL_RETRY_DELAY_MS = 200
# Path of queries about attempts.
ATTEMPT_QUERY_PATH = "/attempts/void"
# Request headers that concern only the connection between entry and agent and are
# not forwarded.
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
# Prefix of the headers that the system's own processes exchange; headers with the
# prefix are not forwarded.
_INTERNAL_HEADER_PREFIX = "x-cowslip-"


class AnswerCutError(ConnectionError):
    """Raised when an answer ends early, to break the connection to the entry."""


class EngineContext(NamedTuple):
    """What the handling of model calls needs to know about the engine.

    Parameters
    ----------
    dialect : EngineDialect
    models : ModelTable
    compute_max_kv_bytes : callable
        Returns the upper bound of the KV cache of a call, from the bytes of its
        prompt and the tokens of its answer.
    """

    dialect: EngineDialect
    models: ModelTable
    compute_max_kv_bytes: Callable[[int, int], int]


class _CheckedCall(NamedTuple):
    """A valid call that may be forwarded once it has a slot.

    Parameters
    ----------
    backend_call : BackendCall
    spec : CallSpec
    count_use : callable
        Returns a context manager to hold while the call runs.
    """

    backend_call: BackendCall
    spec: CallSpec
    count_use: Callable[[], AbstractContextManager]


class CallApp:
    """ASGI application that serves the calls from entries.

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
        self._pending_cancels: list[tuple[str, AdmissionTicket]] = []
        self._cancel_requested = anyio.Event()
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
        """Record that the process runs and start the queued calls that fit."""
        self._pause_detector.tick(now_ms)
        self._admission.start_queued_calls(now_ms)

    async def cancel_cut_calls(self) -> None:
        """Cancel cut calls at the engine and then release their KV cache.

        A cancellation is repeated until the engine confirms that the call has ended.
        """
        while True:
            await self._cancel_requested.wait()
            self._cancel_requested = anyio.Event()
            while self._pending_cancels:
                call_id, ticket = self._pending_cancels[0]
                if isinstance(await self._engine.dialect.cancel(call_id), Err):
                    self._metrics.count("cancel_retries_total", reason="UNREACHABLE")
                    await anyio.sleep(CANCEL_RETRY_DELAY_MS / 1000)
                    continue
                self._pending_cancels.pop(0)
                self._admission.release_kv(ticket)

    async def _serve(
        self, scope: dict, receive: Any, send: Any, arrived_ms: float
    ) -> None:
        if not self._is_trusted(scope):
            await self._refuse(send, failure(Code.BAD_TOKEN))
            return
        n_bytes = _read_announced_body_bytes(scope)
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
        if request.path == ATTEMPT_QUERY_PATH:
            await self._answer_attempt_query(request, send)
            return
        checked = self._check_call(request, arrived_ms)
        if isinstance(checked, Err):
            await self._refuse_call(request, send, checked.failure())
            return
        await self._admit_and_forward(request, checked.unwrap(), receive, send)

    async def _admit_and_forward(
        self, request: Request, checked: _CheckedCall, receive: Any, send: Any
    ) -> None:
        """Wait for a slot, then forward the call."""
        admitted = await self._wait_for_slot(checked.spec, receive)
        if isinstance(admitted, Err):
            await self._refuse_call(request, send, admitted.failure())
            return
        ticket = admitted.unwrap()
        begun = self._attempts.begin(request.headers, wall_ms())
        if isinstance(begun, Err):
            self._admission.release_all(ticket)
            await self._refuse(send, begun.failure())
            return
        with checked.count_use():
            await self._forward_call(
                begun.unwrap(), checked.backend_call, ticket, receive, send
            )

    async def _wait_for_slot(
        self, spec: CallSpec, receive: Any
    ) -> Result[AdmissionTicket, Failure]:
        """Wait for a slot, unless the caller disconnects first.

        Nothing is awaited after the ticket has been checked again, so that the check
        still holds when the call is sent.
        """
        submitted = self._admission.submit(spec, monotonic_ms())
        if isinstance(submitted, Err):
            return submitted
        ticket = submitted.unwrap()
        if not ticket.decided.is_set():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                await self._admission.wait_until_decided(ticket)
                tasks.cancel_scope.cancel()
        if not ticket.decided.is_set() or ticket.is_withdrawn:
            return Err(failure(Code.PEER_GONE))
        return self._admission.recheck(ticket, monotonic_ms())

    async def _forward_call(
        self,
        attempt: Any,
        backend_call: BackendCall,
        ticket: AdmissionTicket,
        receive: Any,
        send: Any,
    ) -> None:
        """Forward a call, and record its answer when it belongs to an attempt.

        A call of an attempt continues when its caller disconnects; any other call is
        cancelled.
        """
        result = ForwardResult(ForwardOutcome.CANCELLED)
        call_id = f"{self._server_id}-{next(self._call_numbers)}"
        if self._engine is not None:
            backend_call.headers.append(("x-request-id", call_id))
        try:
            if attempt is None:
                result = await self._forwarder.forward(
                    backend_call,
                    send,
                    self.make_report_headers,
                    lambda: _wait_for_disconnect(receive),
                )
            else:
                with attempt:
                    result = await self._forwarder.forward(
                        backend_call,
                        attempt.make_recording_send(send),
                        self.make_report_headers,
                        None,
                    )
        finally:
            self._finish_call(call_id, ticket, result)
        if result.outcome is ForwardOutcome.CUT:
            raise AnswerCutError(backend_call.target)

    def _finish_call(
        self, call_id: str, ticket: AdmissionTicket, result: ForwardResult
    ) -> None:
        """Release what a call held.

        The KV cache of a call that the engine may still run is released only after
        the engine has cancelled the call.
        """
        self._metrics.count("calls_total", outcome=result.outcome.value)
        if result.outcome is ForwardOutcome.WHOLE and result.status < 400:
            n_new_tokens = ticket.spec.n_new_tokens
            self._admission.time_estimate.add_sample(
                result.first_byte_ms, result.remaining_ms, n_new_tokens
            )
        self._admission.release_slot(ticket)
        has_ended = result.outcome in (
            ForwardOutcome.WHOLE,
            ForwardOutcome.NOT_SENT,
            ForwardOutcome.REFUSED,
        )
        if has_ended or self._engine is None:
            self._admission.release_kv(ticket)
            return
        self._pending_cancels.append((call_id, ticket))
        self._cancel_requested.set()

    async def _answer_attempt_query(self, request: Request, send: Any) -> None:
        decoded = decode_record(AttemptQuery, request.body)
        if isinstance(decoded, Err):
            await self._refuse(send, decoded.failure())
            return
        attempt_end = await self._attempts.query(decoded.unwrap(), wall_ms())
        if isinstance(attempt_end, Err):
            await self._refuse(send, attempt_end.failure())
            return
        await send_response(send, 200, {}, encode_record(attempt_end.unwrap()))

    async def _refuse_call(self, request: Request, send: Any, fault: Failure) -> None:
        """Refuse a call and void its attempt, which then cannot begin later."""
        fault = self._attempts.refuse(request.headers, fault, wall_ms())
        await self._refuse(send, fault)

    async def _refuse(self, send: Any, fault: Failure) -> None:
        self.last_refusal_ms = monotonic_ms()
        self._metrics.count("refusals_total", reason=fault.code.name)
        headers = self.make_report_headers()
        if self.is_leaving:
            headers["connection"] = "close"
        await send_failure(send, fault, headers)

    def make_report_headers(self) -> dict[str, str]:
        """Return the answer header that reports the backend server's load."""
        admission = self._admission
        load = {
            "n_in_flight": admission.n_in_flight,
            "n_queued": admission.n_queued,
            "wait_ms": round(
                admission.predict_wait_ms(monotonic_ms(), CallClass.STANDARD), 1
            ),
            "knee_in_flight": admission.knee_in_flight,
        }
        return {"x-cowslip-report": orjson.dumps(load).decode()}

    def _is_trusted(self, scope: dict) -> bool:
        """Return whether a call carries the cluster token."""
        header = dict(scope["headers"]).get(b"authorization", b"").decode("latin-1")
        return token_matches(self._cluster_token, header.removeprefix("Bearer "))

    def _check_call(
        self, request: Request, arrived_ms: float
    ) -> Result[_CheckedCall, Failure]:
        """Return the call to forward, or why it is refused."""
        if self.is_leaving or self.is_drained:
            return Err(failure(Code.AGENT_LEAVING, "", RETRY_AFTER_MS))
        if request.headers.get("x-cowslip-server", "") != self._server_id:
            return Err(failure(Code.WRONG_SERVER, "", RETRY_AFTER_MS))
        scheduling = parse_scheduling_headers(request, arrived_ms)
        if isinstance(scheduling, Err):
            return scheduling
        if self._engine is not None:
            return self._check_model_call(request, *scheduling.unwrap())
        spec = CallSpec(*scheduling.unwrap(), 0, 0, lambda: True)
        return Success(
            _CheckedCall(_make_backend_call(request, request.body), spec, nullcontext)
        )

    def _check_model_call(
        self, request: Request, call_class: CallClass, deadline_ms: float
    ) -> Result[_CheckedCall, Failure]:
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
            call.n_new_tokens,
            engine.compute_max_kv_bytes(call.n_prompt_bytes, call.max_tokens),
            lambda: engine.models.is_servable(call.key),
        )
        backend_call = _make_backend_call(
            request, orjson.dumps(call.body), "x-request-id"
        )
        return Success(
            _CheckedCall(backend_call, spec, lambda: engine.models.count_call(call.key))
        )


def _make_backend_call(
    request: Request, body: bytes, *dropped_headers: str
) -> BackendCall:
    """Return a call without the headers that only entry and agent need."""
    headers = [
        (name, value)
        for name, value in request.headers.items()
        if name not in _DROPPED_HEADERS
        and name not in dropped_headers
        and not name.startswith(_INTERNAL_HEADER_PREFIX)
    ]
    headers += [("host", "backend"), ("content-length", str(len(body)))]
    return BackendCall(request.method, request.target, headers, body)


def _read_announced_body_bytes(scope: dict) -> int:
    """Return how many bytes the body of a call may take, from its headers."""
    headers = dict(scope["headers"])
    length = headers.get(b"content-length", b"")
    if b"transfer-encoding" in headers:
        return MAX_BODY_BYTES
    return min(int(length), MAX_BODY_BYTES) if length.isdigit() else 0


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    await _wait_for_disconnect(receive)
    scope.cancel()
