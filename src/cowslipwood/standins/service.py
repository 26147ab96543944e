"""A stand-in plain service that counts how often each request was run."""

from collections import Counter
from typing import Any

import anyio
import orjson

from ..kernel.http import Request, read_request, send_json
from ._faults import BrokenAnswerError, Faults

__all__ = ["StandinService"]

MAX_BODY_BYTES = 8 * 1024 * 1024


class StandinService:
    """Answers each call with the running count and the request's body.

    ``GET /standin/state`` tells the load, the count and how many bodies were
    run more than once; ``POST /standin/fault`` commands faults.

    Parameters
    ----------
    answer_ms : float
        Time that a call takes below the knee.
    knee_in_flight : int
        Calls served at full speed at once.
    """

    def __init__(self, answer_ms: float = 5.0, knee_in_flight: int = 16):
        self._answer_ms = answer_ms
        self._knee_in_flight = knee_in_flight
        self._n_in_flight = 0
        self._runs: Counter[bytes] = Counter()
        self.run_count = 0
        self.faults = Faults()

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        match request.method, request.path:
            case "GET", "/standin/state":
                await send_json(send, 200, self._state())
            case "POST", "/standin/fault":
                await send_json(send, 200, self.faults.set(orjson.loads(request.body)))
            case _ if self.faults.strikes("answer_errors"):
                await send_json(send, 500, {"error": "commanded"})
            case _:
                await self._run(request, send)

    def _state(self) -> dict[str, Any]:
        return {
            "run_count": self.run_count,
            "n_in_flight": self._n_in_flight,
            "knee_in_flight": self._knee_in_flight,
            "n_repeated_bodies": sum(count > 1 for count in self._runs.values()),
        }

    async def _run(self, request: Request, send: Any) -> None:
        self.run_count += 1
        count = self.run_count
        if request.body:
            self._runs[request.body] += 1
        self._n_in_flight += 1
        try:
            slowdown = max(1.0, self._n_in_flight / self._knee_in_flight)
            factor = slowdown * self.faults.slow_factor
            await anyio.sleep(self._answer_ms * factor / 1000)
        finally:
            self._n_in_flight -= 1
        if self.faults.strikes("lose_answers"):
            raise BrokenAnswerError("answer lost on command")
        value = {"run_count": count, "request": _as_json(request.body)}
        await send_json(send, 200, value)


def _as_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode("utf-8", "replace") or None
