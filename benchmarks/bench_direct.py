"""Measures the processor time of an entry with direct routes, per request and event.

The entry runs in the main thread, and only the processor time of that thread is
counted. The backend server and the callers run in another thread.

Run: ``python -m benchmarks.bench_direct [N_REQUESTS] [--profile]``
"""

import cProfile
import pstats
import random
import sys
import threading
import time

import anyio
import anyio.to_thread
import h11
from tests.direct_builders import (
    build_direct_state,
    build_document,
    build_listed_server,
)

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.entry.receiving._caller_protocol import make_caller_protocol
from cowslipwood.kernel.http import HttpServer, bind_socket
from cowslipwood.kernel.logs import configure_logs

ENTRY_PORT = 18_931
SERVER_PORT = 18_932
# Events per response of the two measurements; their difference gives the cost of one
# event.
N_EVENTS = (1, 19)
# Pause in seconds between two events, so that each event wakes the entry separately.
EVENT_PAUSE_S = 0.001
# Time in milliseconds that a caller has to send the head of a request.
HEAD_TIMEOUT_MS = 10_000.0


async def _serve_connection(stream: anyio.abc.SocketStream, n_events: int) -> None:
    conn = h11.Connection(h11.SERVER)
    async with stream:
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    return
            elif isinstance(event, h11.Request):
                request_id = dict(event.headers).get(b"x-request-id", b"")
            elif isinstance(event, h11.EndOfMessage):
                head = h11.Response(
                    status_code=200,
                    headers=[
                        ("content-type", "text/event-stream"),
                        ("x-request-id", request_id),
                        ("transfer-encoding", "chunked"),
                    ],
                )
                await stream.send(conn.send(head))
                for number in range(n_events):
                    data = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60)
                    await stream.send(conn.send(h11.Data(data=data)))
                    await anyio.sleep(EVENT_PAUSE_S)
                await stream.send(conn.send(h11.EndOfMessage()))
                conn.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return


async def _send_requests(n_requests: int) -> None:
    stream = await anyio.connect_tcp("127.0.0.1", ENTRY_PORT)
    conn = h11.Connection(h11.CLIENT)
    async with stream:
        for number in range(n_requests):
            headers = [
                ("host", "shop.example"),
                ("x-request-id", f"q{number}"),
                ("content-length", "1700"),
            ]
            request = h11.Request(method="POST", target="/orders/7", headers=headers)
            data = conn.send(request) + conn.send(h11.Data(data=b"y" * 1700))
            await stream.send(data + conn.send(h11.EndOfMessage()))
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive())
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    raise RuntimeError(f"status {event.status_code}")
                elif isinstance(event, h11.EndOfMessage):
                    conn.start_next_cycle()
                    break


async def _run_server_and_callers(
    n_requests: int, n_events: int, ready: threading.Event
) -> None:
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=SERVER_PORT, reuse_port=True
        )

        async def serve(stream: anyio.abc.SocketStream) -> None:
            await _serve_connection(stream, n_events)

        tasks.start_soon(listener.serve, serve)
        ready.wait()
        async with anyio.create_task_group() as callers:
            for _ in range(4):
                callers.start_soon(_send_requests, n_requests // 4)
        tasks.cancel_scope.cancel()


async def _measure_request_ms(n_requests: int, n_events: int) -> float:
    """Return the processor time of the entry in milliseconds per request."""
    state = build_direct_state([build_listed_server("s1", f"127.0.0.1:{SERVER_PORT}")])
    routes = [
        {
            "name": "r1",
            "host": "shop.example",
            "path_prefix": "/orders/",
            "kind": "streaming",
            "timeout_ms": 15_000,
            "services": [{"service": "desk", "weight": 1}],
            "max_attempts": 1,
        }
    ]
    state.apply_document(build_document(routes=routes))
    app = RouteApp(state, random.Random(1))
    protocol = make_caller_protocol(state.metrics, HEAD_TIMEOUT_MS)
    server = HttpServer(app, bind_socket(f"127.0.0.1:{ENTRY_PORT}"), protocol)
    ready = threading.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await anyio.sleep(0.2)
        start_s = time.thread_time()
        ready.set()
        await anyio.to_thread.run_sync(
            lambda: anyio.run(_run_server_and_callers, n_requests, n_events, ready)
        )
        processor_s = time.thread_time() - start_s
        tasks.cancel_scope.cancel()
    return processor_s * 1000 / n_requests


def main() -> None:
    """Print the processor time of a request without events and of an event."""
    arguments = [argument for argument in sys.argv[1:] if argument != "--profile"]
    n_requests = int(arguments[0]) if arguments else 2_000
    configure_logs("bench", output=open("/dev/null", "w"))  # noqa: SIM115
    profile = cProfile.Profile() if "--profile" in sys.argv else None
    costs_ms = []
    for n_events in N_EVENTS:
        if profile and n_events == N_EVENTS[-1]:
            profile.enable()
        costs_ms.append(anyio.run(_measure_request_ms, n_requests, n_events))
    if profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
    n_few, n_many = N_EVENTS
    event_ms = (costs_ms[1] - costs_ms[0]) / (n_many - n_few)
    print(f"request {costs_ms[0] - event_ms * n_few:.3f} ms, event {event_ms:.4f} ms")


if __name__ == "__main__":
    main()
