"""The callers' HTTP interface."""

import random
import uuid
from typing import Any

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalogue import Entry, EntryKind
from ..kernel.clock import wall_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.http import Request, read_request, send_failure, send_json, send_response
from ..kernel.messages import ServerView
from ..kernel.metrics import Metrics
from ._claim_keys import KEY_HEADER, claim_key
from ._claims import Claims
from ._dispatch import Answer, Attempt, Dispatcher
from ._view import View

__all__ = ["Front"]

MAX_BODY_BYTES = 8 * 1024 * 1024
RETRY_AFTER_MS = 1_000
DEFAULT_MAX_TOKENS = 16


class Front:
    """Serves callers, an ASGI application.

    Parameters
    ----------
    view : View
    dispatcher : Dispatcher
    claims : Claims
    metrics : Metrics
    rng : random.Random
    """

    def __init__(
        self,
        view: View,
        dispatcher: Dispatcher,
        claims: Claims,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._view = view
        self._dispatcher = dispatcher
        self._claims = claims
        self._rng = rng
        self._metrics = metrics
        self.n_in_flight = 0
        self.leaving = False

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        if isinstance(read, Err):
            await self._refuse(send, read.failure(), {})
            return
        request = read.unwrap()
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        headers = {"x-request-id": request_id}
        if self.leaving:
            fault = failure(Code.ENTRY_LEAVING, "", RETRY_AFTER_MS)
            await self._refuse(send, fault, headers)
            return
        self.n_in_flight += 1
        try:
            await self._route(request, send, headers)
        finally:
            self.n_in_flight -= 1

    async def _route(self, request: Request, send: Any, headers: dict) -> None:
        match request.method, request.path.split("/")[1:]:
            case "GET", ["v1", "models"]:
                await send_json(send, 200, self._models(), headers)
            case "POST", ["v1", "completions"]:
                await self._complete(request, send, headers)
            case _, ["services", name, *_]:
                await self._call_service(name, request, send, headers)
            case _:
                await self._refuse(send, failure(Code.NO_SUCH_ROUTE), headers)

    def _models(self) -> dict[str, Any]:
        return {
            "object": "list",
            "data": [
                {"id": entry.name, "object": "model", "owned_by": entry.owner}
                for entry in self._view.entries.values()
                if entry.kind is not EntryKind.SERVICE
            ],
        }

    async def _complete(self, request: Request, send: Any, headers: dict) -> None:
        checked = self._check_completion(request)
        if isinstance(checked, Err):
            await self._refuse(send, checked.failure(), headers)
            return
        entry, body = checked.unwrap()
        attempt = Attempt(
            "POST",
            "/v1/completions",
            {"content-type": "application/json", **headers},
            orjson.dumps(
                {
                    "model": entry.name,
                    "version": entry.version,
                    "prompt": body["prompt"],
                    "max_tokens": body.get("max_tokens", DEFAULT_MAX_TOKENS),
                }
            ),
        )
        stream = body.get("stream", False)
        await self._attempt(entry, request, attempt, send, headers, stream)

    def _check_completion(self, request: Request) -> Result[Any, Failure]:
        try:
            body = orjson.loads(request.body)
        except orjson.JSONDecodeError as exc:
            return Err(failure(Code.BAD_JSON, str(exc)))
        if not isinstance(body, dict) or not isinstance(body.get("prompt"), str):
            return Err(failure(Code.BAD_FIELD, "prompt: expected a string"))
        entry = self._view.entries.get(str(body.get("model")))
        if entry is None or entry.kind is EntryKind.SERVICE:
            return Err(failure(Code.NO_SUCH_MODEL, f"model: {body.get('model')!r}"))
        return Success((entry, body))

    async def _call_service(
        self, name: str, request: Request, send: Any, headers: dict
    ) -> None:
        entry = self._view.entries.get(name)
        if entry is None or entry.kind is not EntryKind.SERVICE:
            await self._refuse(send, failure(Code.NO_SUCH_SERVICE), headers)
            return
        target = request.target.removeprefix(f"/services/{name}") or "/"
        kind = request.headers.get("content-type", "application/octet-stream")
        attempt = Attempt(
            request.method, target, {"content-type": kind, **headers}, request.body
        )
        await self._attempt(entry, request, attempt, send, headers, False)

    async def _attempt(
        self,
        entry: Entry,
        request: Request,
        attempt: Attempt,
        send: Any,
        headers: dict,
        stream: bool,
    ) -> None:
        async def respond(answer: Answer) -> None:
            if entry.kind is EntryKind.SERVICE:
                await _pass_whole(answer, send, headers)
            elif stream:
                await _pass_stream(entry.name, answer, send, headers)
            else:
                await _pass_completion(entry.name, answer, send, headers)

        def pick(tried: frozenset[str]) -> Result[ServerView, Failure]:
            return self._pick(entry, tried)

        keyed = claim_key(entry, request, wall_ms(), self._rng)
        if isinstance(keyed, Err):
            await self._refuse(send, keyed.failure(), headers)
            return
        key = keyed.unwrap()
        if key is None:
            ran = await self._run_once(attempt, pick, respond)
        else:
            headers[KEY_HEADER] = key.text
            ran = await self._claims.run(key, attempt, pick, respond, stream)
        if isinstance(ran, Err):
            await self._refuse(send, ran.failure(), headers)

    async def _run_once(
        self, attempt: Attempt, pick: Any, respond: Any
    ) -> Result[None, Failure]:
        picked = pick(frozenset())
        if isinstance(picked, Err):
            return picked
        async with self._dispatcher.send(picked.unwrap(), attempt) as sent:
            if isinstance(sent, Err):
                return sent
            await respond(sent.unwrap())
        return Success(None)

    def _pick(self, entry: Entry, tried: frozenset[str]) -> Result[ServerView, Failure]:
        candidates = [
            server
            for server in self._view.candidates(entry)
            if server.incarnation not in tried
        ]
        if not candidates:
            return Err(failure(Code.NO_REPLICA, "", RETRY_AFTER_MS))
        return Success(min(candidates, key=lambda c: (c.n_in_flight, c.server_id)))

    async def _refuse(self, send: Any, fault: Failure, headers: dict) -> None:
        self._metrics.count("refusals_total", reason=fault.code.name)
        await send_failure(send, fault, headers)


async def _pass_whole(answer: Answer, send: Any, headers: dict) -> None:
    body = b"".join([chunk async for chunk in answer.chunks])
    kind = answer.headers.get("content-type", "application/octet-stream")
    await send_response(send, answer.status, {"content-type": kind, **headers}, body)


async def _events(answer: Answer) -> Any:
    """Yield the data of each server-sent event."""
    buffer = b""
    async for chunk in answer.chunks:
        buffer += chunk
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            yield event.removeprefix(b"data: ")


async def _pass_stream(model: str, answer: Answer, send: Any, headers: dict) -> None:
    pairs = [(b"content-type", b"text/event-stream")]
    pairs += [(k.encode(), v.encode()) for k, v in headers.items()]
    await send({"type": "http.response.start", "status": 200, "headers": pairs})
    async for data in _events(answer):
        if data == b"[DONE]":
            break
        text = orjson.loads(data)["text"]
        value = {
            "id": headers["x-request-id"],
            "object": "text_completion",
            "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": None}],
        }
        event = b"data: " + orjson.dumps(value) + b"\n\n"
        await send({"type": "http.response.body", "body": event, "more_body": True})
    await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})


async def _pass_completion(
    model: str, answer: Answer, send: Any, headers: dict
) -> None:
    parts = []
    async for data in _events(answer):
        if data != b"[DONE]":
            parts.append(orjson.loads(data)["text"])
    value = {
        "id": headers["x-request-id"],
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": "".join(parts), "finish_reason": "length"}],
    }
    await send_json(send, 200, value, headers)
