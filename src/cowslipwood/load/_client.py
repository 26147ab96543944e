"""HTTP client that sends a request to an entry and checks its answer."""

import enum
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import httpcore
import orjson

from ..kernel.clock import monotonic_ms
from ..standins.engine import make_expected_text
from ._arrivals import Request, RequestKind

__all__ = ["Ending", "EntryClient", "Sample"]

# Longest time to connect and longest pause in an answer, in seconds.
TIMEOUT_S = 30.0


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    WRONG = "wrong"


class Sample(NamedTuple):
    """Result of one request as its caller saw it.

    Parameters
    ----------
    request : Request
    ending : Ending
        `refused` is a request that surely did not run, `unknown` one that may have
        run, `broken` an answer that visibly ended early, `wrong` an answer that looked
        complete but was not the complete answer to this request.
    reason : str
        Name of the result code or of the fault; empty when answered.
    first_ms : float
        Time from the intended send time to the first token or the complete answer.
    between_ms : float
        Mean time between tokens.
    total_ms : float
        Time from the intended send time to the end of the answer.
    run_number : int
        Number that a plain service gave to the execution; 0 otherwise.
    """

    request: Request
    ending: Ending
    reason: str = ""
    first_ms: float = 0.0
    between_ms: float = 0.0
    total_ms: float = 0.0
    run_number: int = 0


class EntryClient:
    """Sends requests to the entries over pooled connections.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of each entry; successive requests go to successive entries.
    max_tokens : int
        Tokens that each completion asks for.
    """

    def __init__(self, entries: list[str], max_tokens: int):
        self._entries = entries
        self._max_tokens = max_tokens
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4096, max_keepalive_connections=512
        )

    async def send(
        self, request: Request, intended_ms: float, entry_offset: int = 0
    ) -> Sample:
        """Send a request and return its result.

        Parameters
        ----------
        request : Request
        intended_ms : float
            Monotonic time at which the request was to be sent.
        entry_offset : int
            Number of entries to skip, so that a request sent again reaches another
            entry, as a caller's retry may.
        """
        entry = self._entries[(request.number + entry_offset) % len(self._entries)]
        send = self._send_completion
        if request.kind is RequestKind.SERVICE:
            send = self._send_service_call
        try:
            return await send(entry, request, intended_ms)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return Sample(request, Ending.BROKEN, type(exc).__name__)
        except (httpcore.TimeoutException, orjson.JSONDecodeError) as exc:
            return Sample(request, Ending.UNKNOWN, type(exc).__name__)

    def _open_stream(self, entry: str, path: str, value: Any, headers: dict) -> Any:
        return self._pool.stream(
            "POST",
            f"http://{entry}{path}",
            headers={"content-type": "application/json", **headers},
            content=orjson.dumps(value),
            extensions={"timeout": {"connect": TIMEOUT_S, "read": TIMEOUT_S}},
        )

    async def _send_completion(
        self, entry: str, request: Request, intended_ms: float
    ) -> Sample:
        body = {
            "model": request.target,
            "prompt": request.prompt,
            "max_tokens": self._max_tokens,
            "stream": True,
        }
        async with self._open_stream(entry, "/v1/completions", body, {}) as response:
            if response.status != 200:
                return _read_error(request, await response.aread())
            texts: list[str] = []
            times_ms: list[float] = []
            async for data in _read_events(response.aiter_stream()):
                if data == b"[DONE]":
                    return self._check_answer(request, texts, times_ms, intended_ms)
                value = orjson.loads(data)
                if "error" in value:
                    return Sample(request, Ending.BROKEN, value["error"]["name"])
                text = "".join(choice.get("text") or "" for choice in value["choices"])
                if text:
                    texts.append(text)
                    times_ms.append(monotonic_ms())
        return Sample(request, Ending.BROKEN, "NO_END")

    def _check_answer(
        self,
        request: Request,
        texts: list[str],
        times_ms: list[float],
        intended_ms: float,
    ) -> Sample:
        """Return the result of a stream that ended with its end mark."""
        if "".join(texts) != make_expected_text(request.prompt, self._max_tokens):
            return Sample(request, Ending.WRONG, "NOT_ITS_ANSWER")
        first_to_last_ms = times_ms[-1] - times_ms[0]
        return Sample(
            request,
            Ending.ANSWERED,
            first_ms=times_ms[0] - intended_ms,
            between_ms=first_to_last_ms / max(1, len(times_ms) - 1),
            total_ms=times_ms[-1] - intended_ms,
        )

    async def _send_service_call(
        self, entry: str, request: Request, intended_ms: float
    ) -> Sample:
        headers = (
            {"idempotency-key": request.idempotency_key}
            if request.idempotency_key
            else {}
        )
        path = f"/services/{request.target}/record"
        body = {"note": request.prompt}
        async with self._open_stream(entry, path, body, headers) as response:
            data = await response.aread()
            if response.status != 200:
                return _read_error(request, data)
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


def _read_error(request: Request, data: bytes) -> Sample:
    """Return the result of a request that was answered with an error."""
    error = orjson.loads(data)["error"]
    ending = Ending.REFUSED if error["outcome"] == "not-run" else Ending.UNKNOWN
    return Sample(request, ending, error["name"])


async def _read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event."""
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            for line in event.split(b"\n"):
                if line.startswith(b"data: "):
                    yield line.removeprefix(b"data: ")
