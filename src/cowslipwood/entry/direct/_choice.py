"""Chooses the server for each attempt of one request."""

import math
import random

import anyio
from returns.result import Failure as Err

from ...kernel.codes import Code, Failure, failure
from ...routes import RouteKind
from ..choosing._backend import Backend
from ..routing import TYPICAL_PROMPT_TOKENS, RoutingContext, usable_candidates
from ._admission import decide_admission
from ._progress import RequestProgress
from ._request import RoutedRequest, compute_urgency_rank
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
        self.tried_server_ids: set[str] = set()

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
        )
        chosen = state.choose_backend(context, self._rng, now_ms)
        hold_off_left_ms = (
            state.compute_hold_off_left_ms(request.key, now_ms)
            if chosen is None
            else 0.0
        )
        if hold_off_left_ms:
            message = f"{request.key}: all servers want a pause"
            return failure(Code.OVERLOADED, message, math.ceil(hold_off_left_ms))
        while chosen is None and request.facts.model:
            holder = await state.holder_finder.find_holder(request, state.now_ms())
            if isinstance(holder, Err):
                return holder.failure()
            if holder.unwrap() not in self.tried_server_ids:
                chosen = state.choose_backend(context, self._rng, state.now_ms())
                if chosen is not None:
                    break
            if self._retry_pause_ms > MAX_RETRY_PAUSE_MS:
                break
            # The holder refused this request or could not be reached. Either an order
            # there is about to end, or the leader is about to detect the loss.
            self.tried_server_ids.discard(holder.unwrap())
            await anyio.sleep(self._retry_pause_ms / 1000)
            self._retry_pause_ms *= RETRY_PAUSE_FACTOR
            chosen = state.choose_backend(context, self._rng, state.now_ms())
        if chosen is None:
            return failure(Code.NO_REPLICA, f"no server for {request.key}")
        return self._apply_admission(chosen, context)

    def _apply_admission(
        self, chosen: Backend, context: RoutingContext
    ) -> Backend | Failure:
        """Return the server for a stream, or a refusal if every queue is too long."""
        state, request = self._state, self._request
        if request.route.kind is not RouteKind.STREAMING or self._progress.has_started:
            return chosen
        now_ms = state.now_ms()
        decision = decide_admission(
            request,
            chosen,
            usable_candidates(state.view.candidates(request.key), context, now_ms),
            compute_urgency_rank(request.route, now_ms - request.arrived_ms),
            context,
            now_ms,
        )
        if decision.backend is None:
            message = f"{request.key}: {decision.wait_ms:.0f} ms queue at every server"
            return failure(Code.OVERLOADED, message, round(decision.retry_after_ms))
        return decision.backend
