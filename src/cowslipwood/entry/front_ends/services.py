"""The front end ``services``: any method on ``/services/{name}/{path}``."""

import re

from returns.result import Failure as Err
from returns.result import Result

from ...catalogue import EntryKind
from ...kernel.codes import Code, Failure, failure
from ...kernel.registry import PluginKind, register
from .._components import AdmittedCall, CallerRequest, EntryComponents, run_with_claim
from ..receiving._answer_writer import AnswerWriter
from ..sending._dispatcher import Answer, Attempt
from ..sending._service_call import CompleteAnswer, call_service, read_complete_answer

__all__ = ["Services"]

_SERVICES_PREFIX = "/services/"
_SERVICE_NAME_PATTERN = re.compile(r"[^/?]*")
_FORWARDED_HEADERS = ("accept", "accept-language", "content-type", "idempotency-key")


@register(PluginKind.FRONT_END, "services")
class Services:
    """Forwards calls to plain services."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return path.startswith(_SERVICES_PREFIX)

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, components: EntryComponents
    ) -> None:
        """Serve one request to its end."""
        if _has_dot_segment(request.http.path):
            await writer.send_failure(failure(Code.BAD_PATH))
            return
        name = request.http.path.removeprefix(_SERVICES_PREFIX).split("/")[0]
        entry = components.view.entries.get(name)
        if entry is None or entry.kind is not EntryKind.SERVICE:
            fault = failure(Code.NO_SUCH_SERVICE, f"service: {name[:80]!r}")
            await writer.send_failure(fault)
            return
        with components.admit_call(request, entry) as admitted:
            if isinstance(admitted, Err):
                await writer.send_failure(admitted.failure())
                return
            await _run_and_answer(request, admitted.unwrap(), writer, components)


def _has_dot_segment(path: str) -> bool:
    """Return whether a decoded path could lead outside the service's own paths."""
    segments = path.replace("\\", "/").split("/")
    return any(segment in (".", "..") for segment in segments)


async def _run_and_answer(
    request: CallerRequest,
    admitted: AdmittedCall,
    writer: AnswerWriter,
    components: EntryComponents,
) -> None:
    result = await _run_with_claim(request, admitted, writer, components)
    if isinstance(result, Err):
        admitted.timing.has_failed = True
        await writer.send_failure(result.failure())
        return
    answer = result.unwrap()
    if answer is not None:
        await writer.send_answer(answer.status, answer.headers, answer.body)
    if answer is None or answer.status < 500:
        admitted.timing.mark_complete(components.now_ms())
    else:
        admitted.timing.has_failed = True


async def _run_with_claim(
    request: CallerRequest,
    admitted: AdmittedCall,
    writer: AnswerWriter,
    components: EntryComponents,
) -> Result[CompleteAnswer | None, Failure]:
    attempt = _make_attempt(request, admitted)

    async def run_request(
        components: EntryComponents, admitted: AdmittedCall
    ) -> Result[CompleteAnswer | None, Failure]:
        return await call_service(components, admitted, attempt, writer)

    async def replay_answer(
        admitted: AdmittedCall, answer: Answer
    ) -> Result[CompleteAnswer | None, Failure]:
        return await read_complete_answer(answer, writer)

    return await run_with_claim(
        components, request, admitted, writer, run_request, replay_answer
    )


def _make_attempt(request: CallerRequest, admitted: AdmittedCall) -> Attempt:
    http = request.http
    path_and_query = _SERVICE_NAME_PATTERN.sub(
        "", http.target.removeprefix(_SERVICES_PREFIX), count=1
    )
    target = path_and_query if path_and_query.startswith("/") else "/" + path_and_query
    headers = {
        name: http.headers[name] for name in _FORWARDED_HEADERS if name in http.headers
    }
    headers.setdefault("content-type", "application/octet-stream")
    return Attempt(http.method, target, headers, http.body)
