"""Stand-in of the model servers: requests, reports and orders, as the pages tell them.

A server reads the prompts of its requests one after another (`read_s` each) and then
generates all streams side by side. A request begins to run with its first token. The
server notices that a connection was closed when it writes to it. Reports are
`REPORT_AGE_S` old.
"""

import asyncio
import contextlib
import socket
import time
from typing import Any

import json

from . import http1
from .deployment import SERVERS_PORT, Record, make_instance

REPORT_AGE_S = 0.3
N_EVENTS = 10
EVENT_PAUSE_S = 0.05
SLOTS = 96
# Time after which a full server wants further requests, in seconds.
RETRY_AFTER_S = 2
# Headers of a stream, by whether it has chunks.
FRAMING_HEADERS = {
    True: {"Transfer-Encoding": "chunked"},
    False: {"Connection": "close"},
}


class Engine:
    """One model server, which may start anew under its id.

    Parameters
    ----------
    record : Record
    ip, server_id, service, zone : str
    weights_mb, max_adapters : float, int
    sizes_mb : dict of str to float
        Weights of each model.
    models : list of str
        What it holds at its start.
    read_s : float
        Time to read one prompt.
    """

    def __init__(
        self,
        record: Record,
        ip: str,
        server_id: str,
        service: str,
        zone: str,
        weights_mb: float,
        sizes_mb: dict[str, float],
        models: list[str],
        read_s: float = 0.24,
        store_s: float = 2.0,
        disk_s: float = 0.5,
        n_places: int = 0,
        is_framed: bool = True,
        n_events: int = N_EVENTS,
    ):
        self.record = record
        self.ip = ip
        self.id = server_id
        self.service = service
        self.zone = zone
        self.weights_mb = weights_mb
        self.sizes_mb = sizes_mb
        self.read_s = read_s
        self.store_s = store_s
        self.disk_s = disk_s
        # Requests that it takes at once, beyond which it refuses; 0 for any number.
        self.n_places = n_places
        # Whether its streams have chunks; otherwise they end with their connection.
        self.is_framed = is_framed
        self.n_events = n_events
        self.on_disk: set[str] = set(models)
        # What happened: (time, word, request id).
        self.work: list[tuple[float, str, str]] = []
        self.over_memory: list[str] = []
        # Returns the delay of an order whose answer is lost; None for an ordinary one.
        self.choose_delay_s: Any = lambda order: None
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.StreamWriter] = set()
        self._begin(models)

    def _begin(self, models: list[str]) -> None:
        self.born = int(time.time() * 1000)
        self.run_number = getattr(self, "run_number", 0) + 1
        self.models: dict[str, list[str]] = {name: [] for name in models}
        self.sequence = 0
        self.fence = 0
        self.busy = ""
        self.busy_word = ""
        self.queued: list[str] = []
        self.runs: dict[str, int] = {}
        self._reading = asyncio.Lock()
        self._reports: list[tuple[float, bytes]] = []

    @property
    def used_mb(self) -> float:
        """Weights that are held or being loaded."""
        names = set(self.models) | ({self.busy} if self.busy_word == "load" else set())
        return sum(self.sizes_mb[name] for name in names)

    def make_instance(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return make_instance(
            self.id,
            self.service,
            f"{self.ip}:{SERVERS_PORT}",
            self.zone,
            SLOTS,
            self.born,
            stage="prefill_decode",
            models=self._list_models(),
        )

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen, or accept connections of a socket that listens already."""
        if sock is None:
            self._server = await asyncio.start_server(
                self._serve, self.ip, SERVERS_PORT, reuse_address=True
            )
        else:
            self._server = await asyncio.start_server(self._serve, sock=sock)
        self._tasks = [asyncio.create_task(self._keep_reports())]
        self.record.write(f"engine {self.id} started, holds {sorted(self.models)}")

    async def crash(self) -> None:
        """End at once: connections are reset, everything but the disk is lost."""
        self.record.write(f"engine {self.id} crashes, holds {sorted(self.models)}")
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._conns):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        self._conns.clear()
        self._server = None

    async def restart(self) -> None:
        """Start anew under the same id, empty."""
        self._begin([])
        await self.start()

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    def _make_report(self) -> bytes:
        return json.dumps(
            {
                "stage": "prefill_decode",
                "models": self._list_models(),
                "busy": bool(self.busy),
                "sequence": self.sequence,
                "queued": len(self.queued),
                "running": len(self.runs),
                "runs": [[each, 9190, made, 2] for each, made in self.runs.items()],
                "kvUsed": 9190 * len(self.runs),
                "kvTotal": 207_195,
                "handles": 0,
                "pending": [],
                "state": "ready",
                "available": {
                    "inMemory": [],
                    "onDisk": [f"{m}@1" for m in self.on_disk],
                },
                "born": self.born,
            }
        ).encode()

    async def _keep_reports(self) -> None:
        while True:
            now_s = time.monotonic()
            self._reports.append((now_s, self._make_report()))
            while (
                len(self._reports) > 1 and self._reports[1][0] <= now_s - REPORT_AGE_S
            ):
                self._reports.pop(0)
            await asyncio.sleep(0.02)

    async def _serve(self, reader: Any, writer: Any) -> None:
        self._conns.add(writer)
        errors = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*errors):
            while True:
                head = await http1.read_head(reader)
                body = await http1.read_body(reader, head)
                if not await self._answer(head, body, writer):
                    break
        self._conns.discard(writer)
        writer.close()

    async def _send(
        self, writer: Any, status: int, headers: dict, body: bytes = b""
    ) -> None:
        headers = {"Instance-Id": self.id, **headers, "Content-Length": len(body)}
        writer.write(http1.encode_head(f"HTTP/1.1 {status} X", headers) + body)
        await writer.drain()

    async def _answer(self, head: http1.Head, body: bytes, writer: Any) -> bool:
        method, target, _ = head.line.split()
        request_id = head.headers.get("request-id", "")
        own = {"Request-Id": request_id} if request_id else {}
        if head.headers.get("expect-instance", self.id) != self.id:
            await self._send(writer, 421, {**own, "Not-Executed": 1})
        elif target == "/health":
            await self._send(writer, 200, {})
        elif target == "/cowslipwood/report":
            await self._send(
                writer, 200, {"Content-Type": "application/json"}, self._reports[0][1]
            )
        elif target == "/cowslipwood/order":
            return await self._take_order(json.loads(body), writer)
        else:
            return await self._run(head, own, writer)
        return True

    async def _run(self, head: http1.Head, own: dict, writer: Any) -> bool:
        request_id = own["Request-Id"]
        model = head.headers.get("model-id", "").partition("/")[0]
        if model not in self.models or (
            self.busy_word == "load" and model == self.busy
        ):
            await self._send(writer, 421, {**own, "Not-Executed": 1})
            return True
        self._note("arrives", request_id)
        if self.n_places and len(self.queued) + len(self.runs) >= self.n_places:
            self._note("is refused", request_id)
            refusal = {**own, "Not-Executed": 1, "Retry-After": RETRY_AFTER_S}
            await self._send(writer, 503, refusal)
            return True
        self.queued.append(request_id)
        run_number = self.run_number
        async with self._reading:
            if run_number != self.run_number:
                return False
            self._note("is read", request_id)
            await asyncio.sleep(self.read_s)
        if run_number != self.run_number:
            return False
        self.queued.remove(request_id)
        self.runs[request_id] = 0
        self._note("first token", request_id)
        headers = {
            **own,
            "Instance-Id": self.id,
            "Response-Seal": f"{self.id}.{self.born}",
            "Content-Type": "text/event-stream",
            **FRAMING_HEADERS[self.is_framed],
            "Server-Load": f"{len(self.runs)},{len(self.queued)},{SLOTS}",
        }
        try:
            if writer.is_closing():
                raise ConnectionError
            writer.write(http1.encode_head("HTTP/1.1 200 OK", headers))
            first = int(head.headers.get("last-event-id") or 0) + 1
            for number in range(first, self.n_events + 1):
                event = b"id: %d\ndata: token %d\n\n" % (number, number)
                writer.write(http1.encode_chunk(event) if self.is_framed else event)
                await writer.drain()
                self.runs[request_id] = number
                await asyncio.sleep(EVENT_PAUSE_S)
                if writer.is_closing():
                    raise ConnectionError
            if self.is_framed:
                writer.write(http1.END_OF_CHUNKS)
            await writer.drain()
            self._note("ends", request_id)
        except OSError:
            self._note("is dropped", request_id)
            return False
        finally:
            if run_number == self.run_number:
                self.runs.pop(request_id, None)
        return self.is_framed

    def _note(self, word: str, request_id: str) -> None:
        self.work.append((time.monotonic(), word, request_id))
        self.record.write(f"engine {self.id}: {request_id} {word}")

    async def _take_order(self, order: dict, writer: Any) -> bool:
        delay_s = self.choose_delay_s(order)
        if delay_s is None:
            status = self._carry_out(order)
            await self._send(writer, status, {})
            return True
        self.record.write(
            f"engine {self.id}: order {order} gets no answer, is carried out in {delay_s} s"
        )
        asyncio.get_running_loop().call_later(delay_s, self._carry_out_late, order)
        await asyncio.sleep(delay_s + 10)
        return False

    def _carry_out_late(self, order: dict) -> None:
        self.record.write(f"engine {self.id}: the late order arrives")
        if self._server is not None:
            self._carry_out(order)

    def _carry_out(self, order: dict) -> int:
        status = self._judge(order)
        self.record.write(
            f"engine {self.id}: {order['operation']} {order['model']} "
            f"{order.get('adapter', '')} expect {order.get('expect')} token "
            f"{order['fencingToken']}: {status}; {self.sequence} orders accepted, "
            f"{self.used_mb:.0f} of {self.weights_mb:.0f} MB"
        )
        return status

    def _judge(self, order: dict) -> int:
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        name, word = order["model"], order["operation"]
        if order.get("expect", self.sequence) != self.sequence or self.busy:
            return 409
        if word == "load" and name in self.models:
            return 200
        if word == "unload" and name not in self.models:
            return 200
        self.sequence += 1
        self.busy, self.busy_word = name, word
        if self.used_mb > self.weights_mb:
            self.over_memory.append(
                f"{self.id}: {order} takes {self.used_mb:.0f} of {self.weights_mb:.0f} MB"
            )
        if word == "unload":
            del self.models[name]
            load_s = 0.05
        else:
            load_s = self.disk_s if name in self.on_disk else self.store_s
        asyncio.get_running_loop().call_later(load_s, self._end_order, self.run_number)
        return 202

    def _end_order(self, run_number: int) -> None:
        if run_number != self.run_number:
            return
        if self.busy_word == "load":
            self.models[self.busy] = []
            self.on_disk.add(self.busy)
        self.busy = self.busy_word = ""
