"""Sends one request to an entry and checks its answer."""

import enum
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import httpcore
import orjson

from ..kernel.clock import monotonic_ms
from ..standins.engine import expected_text
from ._arrivals import Request, RequestKind

__all__ = ["Client", "Ending", "Sample"]

TIMEOUT_S = 30.0


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    WRONG = "wrong"


class Sample(NamedTuple):
    """What one request met.

    Parameters
    ----------
    request : Request
    ending : Ending
        `broken` is an answer that visibly ended early, `wrong` one that looked
        finished but was not the caller's own whole answer.
    reason : str
        Name of the result code, or what was wrong; empty when answered.
    first_ms : float
        From the intended send time to the first token or the whole answer.
    between_ms : float
        Mean time between tokens.
    total_ms : float
        From the intended send time to the end.
    run_number : int
        A service's count of executions; 0 otherwise.
    """

    request: Request
    ending: Ending
    reason: str = ""
    first_ms: float = 0.0
    between_ms: float = 0.0
    total_ms: float = 0.0
    run_number: int = 0


class Client:
    """Keeps connections to the entries.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of each entry; requests take turns.
    max_tokens : int
    """

    def __init__(self, entries: list[str], max_tokens: int):
        self._entries = entries
        self._max_tokens = max_tokens
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4096, max_keepalive_connections=512
        )

    async def send(self, request: Request, intended_ms: float, turn: int = 0) -> Sample:
        """Send a request and return what it met.

        Parameters
        ----------
        request : Request
        intended_ms : float
            Monotonic time at which it was to be sent.
        turn : int
            Moves the request to another entry, as a caller's resend may.
        """
        entry = self._entries[(request.number + turn) % len(self._entries)]
        method = self._complete
        if request.kind is RequestKind.SERVICE:
            method = self._call_service
        try:
            return await method(entry, request, intended_ms)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return Sample(request, Ending.BROKEN, type(exc).__name__)
        except (httpcore.TimeoutException, orjson.JSONDecodeError) as exc:
            return Sample(request, Ending.UNKNOWN, type(exc).__name__)

    def _open(self, entry: str, path: str, value: Any, headers: dict) -> Any:
        return self._pool.stream(
            "POST",
            f"http://{entry}{path}",
            headers={"content-type": "application/json", **headers},
            content=orjson.dumps(value),
            extensions={"timeout": {"connect": TIMEOUT_S, "read": TIMEOUT_S}},
        )

    async def _complete(
        self, entry: str, request: Request, intended_ms: float
    ) -> Sample:
        ask = {
            "model": request.target,
            "prompt": request.prompt,
            "max_tokens": self._max_tokens,
            "stream": True,
        }
        async with self._open(entry, "/v1/completions", ask, {}) as response:
            if response.status != 200:
                return _refused(request, await response.aread())
            parts: list[str] = []
            times_ms: list[float] = []
            async for data in _events(response.aiter_stream()):
                if data == b"[DONE]":
                    return self._finished(request, parts, times_ms, intended_ms)
                value = orjson.loads(data)
                if "error" in value:
                    return Sample(request, Ending.BROKEN, value["error"]["name"])
                text = "".join(c.get("text") or "" for c in value["choices"])
                if text:
                    parts.append(text)
                    times_ms.append(monotonic_ms())
        return Sample(request, Ending.BROKEN, "NO_END")

    def _finished(
        self,
        request: Request,
        parts: list[str],
        times_ms: list[float],
        intended_ms: float,
    ) -> Sample:
        if "".join(parts) != expected_text(request.prompt, self._max_tokens):
            return Sample(request, Ending.WRONG, "NOT_ITS_ANSWER")
        spread_ms = times_ms[-1] - times_ms[0]
        return Sample(
            request,
            Ending.ANSWERED,
            first_ms=times_ms[0] - intended_ms,
            between_ms=spread_ms / max(1, len(times_ms) - 1),
            total_ms=times_ms[-1] - intended_ms,
        )

    async def _call_service(
        self, entry: str, request: Request, intended_ms: float
    ) -> Sample:
        headers = {"idempotency-key": request.key} if request.key else {}
        path = f"/services/{request.target}/record"
        body = {"note": request.prompt}
        async with self._open(entry, path, body, headers) as response:
            data = await response.aread()
            if response.status != 200:
                return _refused(request, data)
        value = orjson.loads(data)
        if value.get("request") != body:
            return Sample(request, Ending.WRONG, "NOT_ITS_ANSWER")
        total_ms = monotonic_ms() - intended_ms
        return Sample(
            request,
            Ending.ANSWERED,
            first_ms=total_ms,
            total_ms=total_ms,
            run_number=value["run_count"],
        )


def _refused(request: Request, data: bytes) -> Sample:
    error = orjson.loads(data)["error"]
    ending = Ending.REFUSED if error["outcome"] == "not-run" else Ending.UNKNOWN
    return Sample(request, ending, error["name"])


async def _events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event."""
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            for line in event.split(b"\n"):
                if line.startswith(b"data: "):
                    yield line.removeprefix(b"data: ")
