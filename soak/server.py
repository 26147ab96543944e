"""Backend server for the soak: a plain service or a model engine with faults.

    python -m soak.server SETTINGS

SETTINGS is the JSON form of `ServerSettings`. The process records each request that
arrives, runs and ends. It is killed and restarted from outside.
"""

import enum
import functools
import json
import random
import re
import select
import socket
import struct
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import anyio.abc

from .history import HistoryWriter
from .wire import END_OF_CHUNKS, Head, MessageReader, encode_chunk, encode_head

__all__ = [
    "Fault",
    "ServerSettings",
    "make_event",
    "make_instance",
    "split_versions",
]

# Time between two looks at the connection of a running request, in ms.
CONNECTION_CHECK_MS = 20
# Age of what a report says, in seconds.
REPORT_AGE_S = 0.2
# Events of one stream.
N_EVENTS = 40
# Pause of a stream under `Fault.PAUSE`, in seconds: longer than an entry waits for the
# next event before it goes on elsewhere.
PAUSE_S = 5.5
# Delay of an answer under `Fault.LATE`, in seconds.
LATE_S = 1.6
# Longest pause before an answer that is sent a second time, in seconds.
REPEAT_S = 0.05
# Statuses under `Fault.UNEXPLAINED`: they say "not run", but not by the header.
UNEXPLAINED_STATUSES = (408, 429, 503)
# Reads from a connection that the peer has closed return at once.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


# The version at the end of an event's text; the end of a cut stream may lack a part.
VERSION_MARK = re.compile(rb"~([^\n]*)")


class Fault(enum.StrEnum):
    """What a server does wrong with one request."""

    REFUSE = "refuse"
    REFUSE_TWICE = "refuse_twice"
    HOLD_OFF = "hold_off"
    RESET_BEFORE = "reset_before"
    RESET_AFTER = "reset_after"
    CUT = "cut"
    ERROR = "error"
    LATE = "late"
    ANSWER_TWICE = "answer_twice"
    PAUSE = "pause"
    UNEXPLAINED = "unexplained"
    FOREIGN = "foreign"
    MALFORMED = "malformed"


class ServerSettings(NamedTuple):
    """Settings of a server process.

    Parameters
    ----------
    host, port : str, int
    server_id, service, zone, version : str
    model : str
        The model that it holds; empty for a plain service.
    history : str
        File for the records.
    seed : int
    fault_share : float
        Share of the requests that meet a fault.
    faults : tuple of str
        Values of `Fault` to draw from.
    idle_timeout_s : float
        Idle time after which it closes a connection.
    work_ms : float
        Mean time of a run, or between two events of a stream.
    n_slots : int
    unframed_share : float
        Share of the streams that have neither length nor chunks and end with their
        connection.
    born_ms : int
        Unix time of its start; 0 for the present.
    notice_ms : float
        Longest time after which it notices that a connection was closed, unless it
        writes to it before.
    """

    host: str
    port: int
    server_id: str
    service: str
    zone: str
    model: str
    history: str
    seed: int
    version: str = "v1"
    fault_share: float = 0.0
    faults: tuple[str, ...] = tuple(Fault)
    idle_timeout_s: float = 3.0
    work_ms: float = 30.0
    n_slots: int = 48
    unframed_share: float = 0.0
    born_ms: int = 0
    notice_ms: float = 0.0


def make_instance(settings: ServerSettings, state: str = "ready") -> dict[str, Any]:
    """Return the server's entry in the platform's list."""
    return {
        "id": settings.server_id,
        "service": settings.service,
        "address": f"{settings.host}:{settings.port}",
        "zone": settings.zone,
        "version": settings.version,
        "slots": settings.n_slots,
        "state": state,
        "coldRemainingMs": 0,
        "born": settings.born_ms,
        **_make_model_fields(settings),
    }


def _make_model_fields(settings: ServerSettings) -> dict[str, Any]:
    if not settings.model:
        return {}
    models = [{"name": settings.model, "version": 1, "adapters": []}]
    return {"stage": "prefill_decode", "models": models}


class _Server:
    def __init__(self, settings: ServerSettings):
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))
        self._rng = random.Random(settings.seed)
        self._n_running = 0
        # Id, begin and end of each run, in seconds; the end is None while it goes on.
        self._runs: list[list[Any]] = []
        self._sequence = 0
        self._born_ms = settings.born_ms or int(time.time() * 1000)

    async def run(self) -> None:
        settings = self._settings
        listener = await anyio.create_tcp_listener(
            local_host=settings.host, local_port=settings.port, reuse_port=False
        )
        self._record("server_started", version=settings.version)
        await listener.serve(self._serve)

    def _record(self, event: str, head: Head | None = None, **fields: Any) -> None:
        if head is not None:
            headers = head.headers
            fields["request"] = headers.get("request-id", "")
            fields["deadline_ms"] = headers.get("request-deadline")
            fields["customer"] = headers.get("tenant-id", "")
            fields["has_key"] = "credential" in headers
        self._history.write(
            event,
            server=self._settings.server_id,
            service=self._settings.service,
            born_ms=self._born_ms,
            **fields,
        )

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        reader = MessageReader(stream)
        errors = (anyio.EndOfStream, anyio.IncompleteRead, ValueError, OSError)
        try:
            async with stream:
                while True:
                    with anyio.fail_after(self._settings.idle_timeout_s):
                        head = await reader.read_head()
                    await reader.read_body(head)
                    if not await self._answer(head, stream):
                        return
        except (*errors, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _answer(self, head: Head, stream: anyio.abc.SocketStream) -> bool:
        """Answer one request; return whether the connection goes on."""
        method, target, _ = head.line.split()
        wanted = head.headers.get("expect-instance", self._settings.server_id)
        if wanted != self._settings.server_id:
            await self._misdirect(head, stream)
        elif target == "/cowslipwood/report":
            await stream.send(self._make_answer(head, 200, body=self._make_report()))
        elif target == "/cowslipwood/order" and method == "POST":
            self._sequence += 1
            await stream.send(self._make_answer(head, 200))
        elif target == "/health":
            await stream.send(self._make_answer(head, 200))
        else:
            return await self._answer_request(head, stream)
        return True

    async def _misdirect(self, head: Head, stream: anyio.abc.SocketStream) -> None:
        """Refuse a request to another server; under `REFUSE_TWICE`, do it twice."""
        answer = self._make_answer(head, 421, not_run=True)
        await stream.send(answer)
        if self._draw_fault() is Fault.REFUSE_TWICE:
            await anyio.sleep(self._rng.uniform(0.0, REPEAT_S))
            await stream.send(answer)

    def _draw_fault(self) -> Fault | None:
        """Return what to do wrong with the next request; None for nothing."""
        if self._rng.random() < self._settings.fault_share:
            return Fault(self._rng.choice(self._settings.faults))
        return None

    async def _answer_request(self, head: Head, stream: anyio.abc.SocketStream) -> bool:
        self._record("arrived", head)
        fault = self._draw_fault()
        if self._n_running >= self._settings.n_slots:
            fault = Fault.REFUSE
        match fault:
            case Fault.REFUSE | Fault.REFUSE_TWICE | Fault.HOLD_OFF:
                return await self._refuse(head, stream, fault)
            case Fault.RESET_BEFORE:
                _reset(stream)
                return False
        self._n_running += 1
        self._record("run", head, fault=fault)
        run = [head.headers.get("request-id", ""), time.monotonic(), None]
        self._runs.append(run)
        reason = "cancelled"
        try:
            reason = await self._run_while_connected(head, stream, fault)
        finally:
            self._n_running -= 1
            run[2] = time.monotonic()
            self._record("ended", head, reason=reason)
        return reason == "answered"

    async def _refuse(
        self, head: Head, stream: anyio.abc.SocketStream, fault: Fault
    ) -> bool:
        hold_off_s = 2 if fault is Fault.HOLD_OFF else None
        # Nobody reads what a server says that was frozen until its caller had left.
        is_heard = not _is_closed(stream)
        self._record("refused", head, hold_off_s=hold_off_s, is_heard=is_heard)
        answer = self._make_answer(head, 503, not_run=True, hold_off_s=hold_off_s)
        await stream.send(answer)
        if fault is Fault.REFUSE_TWICE:
            await anyio.sleep(self._rng.uniform(0.0, REPEAT_S))
            await stream.send(answer)
        return True

    async def _run_while_connected(
        self, head: Head, stream: anyio.abc.SocketStream, fault: Fault | None
    ) -> str:
        """Run a request until it is answered or its connection is closed."""
        reason = "connection_closed"
        async with anyio.create_task_group() as tasks:

            async def watch_connection() -> None:
                while not _is_closed(stream):
                    await anyio.sleep(CONNECTION_CHECK_MS / 1000)
                self._record("connection_closed", head)
                late_ms = self._rng.uniform(0.0, self._settings.notice_ms)
                await anyio.sleep(late_ms / 1000)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_connection)
            work = self._write_stream if self._settings.model else self._write_answer
            try:
                reason = await work(head, stream, fault)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                reason = "not_written"
            tasks.cancel_scope.cancel()
        return reason

    async def _misbehave_before_head(
        self, head: Head, stream: anyio.abc.SocketStream, fault: Fault | None
    ) -> None:
        """Send what is no answer to the request, or nothing, and go on with the run."""
        match fault:
            case Fault.FOREIGN:
                other = Head(head.line, {**head.headers, "request-id": "0" * 16})
                await stream.send(self._make_answer(other, 200))
            case Fault.MALFORMED:
                await stream.send(b"no answer\r\n\r\n")
        is_plain_pause = fault is Fault.PAUSE and not self._settings.model
        if is_plain_pause or fault in (Fault.LATE, Fault.FOREIGN, Fault.MALFORMED):
            await anyio.sleep(LATE_S)

    async def _write_answer(
        self, head: Head, stream: anyio.abc.SocketStream, fault: Fault | None
    ) -> str:
        await self._misbehave_before_head(head, stream, fault)
        await anyio.sleep(self._settings.work_ms * self._rng.uniform(0.5, 1.5) / 1000)
        status = 500 if fault is Fault.ERROR else 200
        if fault is Fault.UNEXPLAINED:
            status = self._rng.choice(UNEXPLAINED_STATUSES)
        answer = self._make_answer(head, status, {"seal": self._settings.server_id})
        match fault:
            case Fault.RESET_AFTER:
                _reset(stream)
                return "reset"
            case Fault.CUT:
                await stream.send(answer[: -self._rng.randint(1, 20)])
                return "cut"
        await stream.send(answer)
        if fault is Fault.ANSWER_TWICE:
            await anyio.sleep(self._rng.uniform(0.0, REPEAT_S))
            await stream.send(answer)
        return "answered"

    async def _write_stream(
        self, head: Head, stream: anyio.abc.SocketStream, fault: Fault | None
    ) -> str:
        if fault is Fault.UNEXPLAINED:
            return await self._write_answer(head, stream, fault)
        first = int(head.headers.get("last-event-id") or 0) + 1
        await self._misbehave_before_head(head, stream, fault)
        fault_at = self._rng.randint(first, max(first, N_EVENTS))
        is_framed = self._rng.random() >= self._settings.unframed_share
        headers = {
            "content-type": "text/event-stream",
            **({"transfer-encoding": "chunked"} if is_framed else {}),
            **self._make_common_headers(head),
        }
        await stream.send(encode_head("HTTP/1.1 200 OK", headers))
        for number in range(first, N_EVENTS + 1):
            await anyio.sleep(
                self._settings.work_ms * self._rng.uniform(0.5, 1.5) / 1000
            )
            if number == fault_at:
                match fault:
                    case Fault.RESET_AFTER | Fault.ERROR:
                        _reset(stream)
                        return "reset"
                    case Fault.CUT:
                        await stream.send(b"10\r\nid: " if is_framed else b"id: ")
                        return "cut"
                    case Fault.PAUSE:
                        await anyio.sleep(PAUSE_S)
            event = make_event(number, self._settings.version)
            await stream.send(encode_chunk(event) if is_framed else event)
        if not is_framed:
            return "connection_ended"
        await stream.send(END_OF_CHUNKS)
        return "answered"

    def _make_answer(
        self,
        head: Head,
        status: int,
        body: Any = None,
        not_run: bool = False,
        hold_off_s: int | None = None,
    ) -> bytes:
        data = json.dumps(body or {}).encode()
        headers = {
            "content-type": "application/json",
            "content-length": len(data),
            "instance-id": self._settings.server_id,
            **self._make_common_headers(head),
        }
        if not_run:
            headers["not-executed"] = 1
        if hold_off_s:
            headers["retry-after"] = hold_off_s
        return encode_head(f"HTTP/1.1 {status} X", headers) + data

    def _make_common_headers(self, head: Head) -> dict[str, object]:
        slots = self._settings.n_slots
        headers: dict[str, object] = {
            "server-load": f"{self._n_running},0,{slots}",
            "response-seal": f"{self._settings.server_id}.{self._born_ms}",
        }
        if request_id := head.headers.get("request-id"):
            headers["request-id"] = request_id
        return headers

    def _make_report(self) -> dict[str, Any]:
        at_s = time.monotonic() - REPORT_AGE_S
        self._runs = [run for run in self._runs if run[2] is None or run[2] > at_s]
        return {
            **_make_model_fields(self._settings),
            "busy": False,
            "sequence": self._sequence,
            "queued": 0,
            "running": self._n_running,
            "runs": [[run[0], 1, 1, 1] for run in self._runs if run[1] <= at_s],
            "kvUsed": 1_000 * self._n_running,
            "kvTotal": 200_000,
            "handles": 0,
            "born": self._born_ms,
            "pending": [],
        }


def make_event(number: int, version: str = "") -> bytes:
    """Return one event of a stream, with the version of the server that wrote it."""
    mark = b"~" + version.encode() if version else b""
    return b"id: %d\ndata: token %d%b\n\n" % (number, number, mark)


def split_versions(events: bytes) -> tuple[bytes, list[str]]:
    """Return events without the versions, and the versions of the complete ones."""
    found = VERSION_MARK.findall(events[: events.rfind(b"\n\n") + 1])
    return VERSION_MARK.sub(b"", events), sorted({each.decode() for each in found})


def _get_socket(stream: anyio.abc.SocketStream) -> socket.socket:
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)


def _is_closed(stream: anyio.abc.SocketStream) -> bool:
    """Return whether the peer has closed or reset a connection."""
    # The event loop may have closed the socket; its number then names another one.
    descriptor = _get_socket(stream).fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(event & CLOSED_EVENTS for _, event in poll.poll(0))


def _reset(stream: anyio.abc.SocketStream) -> None:
    """Have the connection reset when it is closed."""
    _get_socket(stream).setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def main() -> None:
    """Run the server that the first argument describes until it is killed."""
    settings = ServerSettings(**json.loads(sys.argv[1]))
    anyio.run(functools.partial(_Server(settings).run))


if __name__ == "__main__":
    main()
