"""Chooses the server for each attempt of one request."""

import math
import random

import anyio
from returns.result import Failure as Err

from ...kernel.codes import Code, Failure, failure
from ...routes import RouteKind
from ..choosing._backend import Backend
from ..routing import TYPICAL_PROMPT_TOKENS, RoutingContext, usable_candidates
from ._admission import compute_max_wait_ms, decide_admission
from ._progress import RequestProgress
from ._request import (
    RoutedRequest,
    compute_urgency_rank,
    estimate_tokens_to_read,
)
from ._state import DirectState

__all__ = ["ServerChoice"]

# Pause, in milliseconds, before a request is sent again to a server that refused it.
# It is as long as the load of an adapter.
FIRST_RETRY_PAUSE_MS = 15.0
# Factor by which each pause before a request is sent again to the server that refused
# it is longer than the one before, because a load or a run there may have to end first.
RETRY_PAUSE_FACTOR = 4.0
# Longest pause, in milliseconds, before a request is sent again to a server that
# refused it. All pauses together are longer than a crash stays undetected; after them
# the caller does better to come back later.
MAX_RETRY_PAUSE_MS = 1_000.0
# Share of the time that a request may wait for its first event for which it waits for
# its turn at a limited server. The server needs the rest.
LIMIT_WAIT_SHARE = 0.4


class ServerChoice:
    """Chooses among the servers that can serve one request.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    progress : RequestProgress
    rng : random.Random
        Source of the random choice of servers.

    Attributes
    ----------
    tried_server_ids : set of str
        Servers that got an attempt, apart from those to which another one may go.
    limit_refusal : Failure or None
        The last refusal for a server's limit; None if there was none.
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        progress: RequestProgress,
        rng: random.Random,
    ):
        self._state = state
        self._request = request
        self._progress = progress
        self._rng = rng
        self._retry_pause_ms = FIRST_RETRY_PAUSE_MS
        self._has_waited_for_limit = False
        self.tried_server_ids: set[str] = set()
        self.limit_refusal: Failure | None = None

    async def choose(self) -> Backend | Failure:
        """Return the server for the next attempt, or why there is none."""
        state, request = self._state, self._request
        now_ms = state.now_ms()
        typical_tokens = state.get_prompt_tokens_average(request.service)
        context = RoutingContext(
            request.key,
            request.facts.prefix_hash,
            state.zone,
            state.view.typical_others_load_share.value,
            False,
            self.tried_server_ids,
            request.facts.n_shared_tokens,
            len(request.body),
            typical_tokens.value or TYPICAL_PROMPT_TOKENS,
            estimate_tokens_to_read(request.facts),
        )
        chosen = self._choose_backend(context)
        if chosen is None:
            others = self._exclude_other_versions()
            paused = state.find_first_pause(request.key, now_ms, others)
            if paused is not None:
                refusal = await self._wait_for_server(paused)
                if refusal is not None:
                    return refusal
                chosen = self._choose_backend(context)
        while chosen is None and request.facts.model:
            holder = await state.holder_finder.find_holder(request, state.now_ms())
            if isinstance(holder, Err):
                return holder.failure()
            if holder.unwrap() in self._exclude_other_versions():
                break
            if holder.unwrap() not in self.tried_server_ids:
                chosen = self._choose_backend(context)
                if chosen is not None:
                    break
            if self._retry_pause_ms > MAX_RETRY_PAUSE_MS:
                break
            # The holder refused this request or could not be reached. Either an order
            # there is about to end, or the leader is about to detect the loss.
            self.tried_server_ids.discard(holder.unwrap())
            await anyio.sleep(self._retry_pause_ms / 1000)
            self._retry_pause_ms *= RETRY_PAUSE_FACTOR
            chosen = self._choose_backend(context)
        if chosen is None:
            if self.limit_refusal is not None:
                return self.limit_refusal
            return failure(Code.NO_REPLICA, f"no server for {request.key}")
        return self._apply_admission(chosen, context)

    def _choose_backend(self, context: RoutingContext) -> Backend | None:
        """Return the server that the policy chooses among those listed now."""
        state = self._state
        self._exclude_other_versions()
        untold = self._find_untold_servers()
        self.tried_server_ids |= untold
        chosen = state.choose_backend(context, self._rng, state.now_ms())
        self.tried_server_ids -= untold
        if chosen is None and untold:
            chosen = state.choose_backend(context, self._rng, state.now_ms())
        return chosen

    def _find_untold_servers(self) -> set[str]:
        """Return further servers that begin a resumable stream only if no other can."""
        state, request = self._state, self._request
        if not request.route.is_resumable or self._progress.must_keep_version:
            return set()
        return {
            backend.view.server_id
            for backend in state.view.candidates(request.key)
            if state.servers.is_version_untold(backend.view)
        } - self.tried_server_ids

    def _exclude_other_versions(self) -> set[str]:
        """Exclude servers that may not continue a stream that has begun.

        What two software versions write does not fit together, and servers do not check
        that. Returns the ids of these servers.
        """
        if not self._progress.must_keep_version:
            return set()
        others = {
            backend.view.server_id
            for backend in self._state.view.candidates(self._request.key)
            if not self._progress.may_continue_at(backend.view.software_version)
        }
        self.tried_server_ids |= others
        return others

    async def _wait_for_server(self, backend: Backend) -> Failure | None:
        """Wait for the first of the paused servers, or return why not to wait.

        None also if a copy of the model elsewhere may be ready sooner.
        """
        state, request = self._state, self._request
        now_ms = state.now_ms()
        left_ms = backend.paused_until_ms - now_ms
        if backend.held_off_until_ms >= backend.limited_until_ms:
            message = f"{request.key}: all servers want a pause"
            return failure(Code.OVERLOADED, message, math.ceil(left_ms))
        turn_ms = state.limits.enqueue_caller(backend.view, now_ms)
        max_wait_ms = LIMIT_WAIT_SHARE * compute_max_wait_ms(request, now_ms)
        if not self._has_waited_for_limit and turn_ms <= max_wait_ms:
            self._has_waited_for_limit = True
            await anyio.sleep(max(left_ms, turn_ms) / 1000)
            self.tried_server_ids.discard(backend.view.server_id)
            return None
        if request.facts.model:
            return None
        message = f"{request.key}: all servers have had as many requests as they take"
        return failure(Code.SERVER_LIMITED, message, math.ceil(turn_ms))

    def _apply_admission(
        self, chosen: Backend, context: RoutingContext
    ) -> Backend | Failure:
        """Return the server for a stream, or a refusal if every queue is too long."""
        state, request = self._state, self._request
        if request.route.kind is not RouteKind.STREAMING or self._progress.has_started:
            return chosen
        now_ms = state.now_ms()
        untold = self._find_untold_servers()
        usable = usable_candidates(state.view.candidates(request.key), context, now_ms)
        if chosen.view.server_id not in untold:
            usable = [each for each in usable if each.view.server_id not in untold]
        decision = decide_admission(
            request,
            chosen,
            usable,
            compute_urgency_rank(request.route, now_ms - request.arrived_ms),
            context,
            now_ms,
        )
        if decision.backend is None:
            message = f"{request.key}: {decision.wait_ms:.0f} ms queue at every server"
            return failure(Code.OVERLOADED, message, round(decision.retry_after_ms))
        return decision.backend
