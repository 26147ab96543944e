"""Runs a request under its claim, with the router's choice of servers.

The claims decide whether a further attempt is safe; where it goes is decided by
the same `Attempts` as for every other request.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import wall_ms
from ..kernel.codes import Failure
from ..kernel.http import Request
from ..kernel.messages import ServerView
from ._backend import Backend
from ._caller import Caller
from ._claim_keys import KEY_HEADER, ClaimKey, claim_key
from ._claims import Respond
from ._dispatch import Answer, AnswerCutError, Attempt, Dispatcher
from ._generation import attempt_headers
from ._router import Router
from ._serving import OpenCall, Serving
from ._view import View, service_key

__all__ = ["ObservedDispatcher", "find_key", "run_keyed"]


class ObservedDispatcher:
    """A dispatcher that tells the router how each attempt went.

    Parameters
    ----------
    dispatcher : Dispatcher
    view : View
    router : Router
    now_ms : callable
        Returns the monotonic time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        view: View,
        router: Router,
        now_ms: Callable[[], float],
    ):
        self._dispatcher = dispatcher
        self._view = view
        self._router = router
        self._now_ms = now_ms

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt as `Dispatcher.send` does."""
        backend = self._view.backends.get(server.server_id)
        if backend is None:
            async with self._dispatcher.send(server, attempt) as sent:
                yield sent
            return
        began_ms = self._now_ms()
        with backend.in_flight():
            async with self._dispatcher.send(server, attempt) as sent:
                self._heard(backend, sent)
                try:
                    yield sent
                except AnswerCutError as exc:
                    self._failed(backend, exc.fault)
                    raise
        if isinstance(sent, Success):
            self._succeeded(backend, self._now_ms() - began_ms)

    def _heard(self, backend: Backend, sent: Result[Answer, Failure]) -> None:
        if isinstance(sent, Err):
            self._failed(backend, sent.failure())
        else:
            self._router.heard(backend, sent.unwrap().report, self._now_ms())

    def _failed(self, backend: Backend, fault: Failure) -> None:
        key = service_key(backend.view.service_name)
        self._router.failed(backend, key, fault, self._now_ms())

    def _succeeded(self, backend: Backend, took_ms: float) -> None:
        key = service_key(backend.view.service_name)
        self._router.succeeded(backend, key, took_ms, took_ms, self._now_ms())


def find_key(
    serving: Serving, opened: OpenCall, request: Request, caller: Caller
) -> Result[ClaimKey | None, Failure]:
    """Return the key to claim a request under; None when it needs no claim.

    The caller's answer names the key, whoever made it.
    """
    if serving.claims is None:
        return Success(None)
    found = claim_key(opened.call.entry, request, wall_ms(), serving.rng)
    key = found.value_or(None)
    if key is not None:
        caller.headers[KEY_HEADER] = key.text
    return found


async def run_keyed(
    serving: Serving,
    opened: OpenCall,
    key: ClaimKey,
    attempt: Attempt,
    respond: Respond,
    live: bool,
) -> Result[Any, Failure]:
    """Run a request at most once; see `Claims.run`."""
    attempts = serving.router.begin(opened.call)

    def pick(tried: frozenset[str]) -> Result[ServerView, Failure]:
        if tried:
            attempts.voided()
        return attempts.next(serving.now_ms()).map(lambda backend: backend.view)

    headers = {**attempt.headers, **attempt_headers(opened.call, serving.now_ms())}
    ready = attempt._replace(headers=headers)
    return await serving.claims.run(key, ready, pick, respond, live)
