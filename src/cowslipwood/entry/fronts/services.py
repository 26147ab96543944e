"""The front end ``services``: any method on ``/services/{name}/{path}``."""

import re

from returns.result import Failure as Err
from returns.result import Result

from ...catalogue import EntryKind
from ...kernel.codes import Code, Failure, failure
from ...kernel.registry import PluginKind, register
from .._serving import CallerRequest, OpenCall, Serving, run_claimed
from ..sending._dispatch import Answer, Attempt
from ..sending._service_call import WholeAnswer, call_service, read_whole
from ..taking._caller import Caller

__all__ = ["Services"]

_PREFIX = "/services/"
_FIRST_PART = re.compile(r"[^/?]*")
_PASSED_HEADERS = ("accept", "accept-language", "content-type", "idempotency-key")


@register(PluginKind.FRONT_END, "services")
class Services:
    """Passes calls on to plain services."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return path.startswith(_PREFIX)

    async def serve(
        self, request: CallerRequest, caller: Caller, serving: Serving
    ) -> None:
        """Serve one request to its end."""
        if _has_dot_segment(request.http.path):
            await caller.refuse(failure(Code.BAD_PATH))
            return
        name = request.http.path.removeprefix(_PREFIX).split("/")[0]
        entry = serving.view.entries.get(name)
        if entry is None or entry.kind is not EntryKind.SERVICE:
            fault = failure(Code.NO_SUCH_SERVICE, f"service: {name[:80]!r}")
            await caller.refuse(fault)
            return
        with serving.open_call(request, entry) as opened:
            if isinstance(opened, Err):
                await caller.refuse(opened.failure())
                return
            await _serve(request, opened.unwrap(), caller, serving)


def _has_dot_segment(path: str) -> bool:
    """Return whether a decoded path could lead out of the service's own."""
    segments = path.replace("\\", "/").split("/")
    return any(segment in (".", "..") for segment in segments)


async def _serve(
    request: CallerRequest, opened: OpenCall, caller: Caller, serving: Serving
) -> None:
    ended = await _run(request, opened, caller, serving)
    if isinstance(ended, Err):
        opened.timing.was_refused = True
        await caller.refuse(ended.failure())
        return
    answer = ended.unwrap()
    if answer is not None:
        await caller.answer(answer.status, answer.headers, answer.body)
    if answer is None or answer.status < 500:
        opened.timing.mark_complete(serving.now_ms())
    else:
        opened.timing.was_refused = True


async def _run(
    request: CallerRequest, opened: OpenCall, caller: Caller, serving: Serving
) -> Result[WholeAnswer | None, Failure]:
    attempt = _attempt(request, opened)

    async def work(
        serving: Serving, opened: OpenCall
    ) -> Result[WholeAnswer | None, Failure]:
        return await call_service(serving, opened, attempt, caller)

    async def replay(
        opened: OpenCall, answer: Answer
    ) -> Result[WholeAnswer | None, Failure]:
        return await read_whole(answer, caller)

    return await run_claimed(serving, request, opened, caller, work, replay)


def _attempt(request: CallerRequest, opened: OpenCall) -> Attempt:
    http = request.http
    after_name = _FIRST_PART.sub("", http.target.removeprefix(_PREFIX), count=1)
    target = after_name if after_name.startswith("/") else "/" + after_name
    headers = {
        name: http.headers[name] for name in _PASSED_HEADERS if name in http.headers
    }
    headers.setdefault("content-type", "application/octet-stream")
    return Attempt(http.method, target, headers, http.body)
