"""Simulates a plain service that counts how often it ran each request."""

from collections import Counter
from typing import Any

import anyio
import orjson

from ..kernel.http import Request, read_request, send_json
from ._faults import Faults, InjectedFaultError

__all__ = ["StandinService"]

# Largest request body, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024


class StandinService:
    """Answers each call with the number of calls so far and the request's body.

    ``GET /standin/state`` returns the load, the number of calls and the number of
    bodies that were run more than once; ``POST /standin/fault`` injects faults.

    Parameters
    ----------
    answer_ms : float
        Time that a call takes at full speed.
    knee_in_flight : int
        Number of calls served at full speed at the same time.
    """

    def __init__(self, answer_ms: float = 5.0, knee_in_flight: int = 16):
        self._answer_ms = answer_ms
        self._knee_in_flight = knee_in_flight
        self._n_in_flight = 0
        self._n_runs_by_body: Counter[bytes] = Counter()
        self._n_runs = 0
        self.faults = Faults()

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        received = await read_request(scope, receive, MAX_BODY_BYTES)
        request = received.value_or(None)
        if request is None:
            return
        match request.method, request.path:
            case "GET", "/standin/state":
                await send_json(send, 200, self._state())
            case "POST", "/standin/fault":
                await send_json(
                    send, 200, self.faults.set_faults(orjson.loads(request.body))
                )
            case _ if self.faults.take_one("answer_errors"):
                await send_json(send, 500, {"error": "commanded"})
            case _:
                await self._run(request, send)

    def _state(self) -> dict[str, Any]:
        return {
            "run_count": self._n_runs,
            "n_in_flight": self._n_in_flight,
            "knee_in_flight": self._knee_in_flight,
            "n_repeated_bodies": sum(
                n_runs > 1 for n_runs in self._n_runs_by_body.values()
            ),
        }

    async def _run(self, request: Request, send: Any) -> None:
        self._n_runs += 1
        run_number = self._n_runs
        if request.body:
            self._n_runs_by_body[request.body] += 1
        self._n_in_flight += 1
        try:
            slowdown_factor = max(1.0, self._n_in_flight / self._knee_in_flight)
            factor = slowdown_factor * self.faults.slow_factor
            await anyio.sleep(self._answer_ms * factor / 1000)
        finally:
            self._n_in_flight -= 1
        if self.faults.take_one("lose_answers"):
            raise InjectedFaultError("injected fault: answer lost")
        value = {"run_count": run_number, "request": _decode_body(request.body)}
        await send_json(send, 200, value)


def _decode_body(body: bytes) -> Any:
    """Return a body as a JSON value, as text if it is not JSON, or None if empty."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode("utf-8", "replace") or None
