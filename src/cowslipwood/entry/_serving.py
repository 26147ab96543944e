"""What the front ends share: the parts of an entry that serve a request."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalogue import Entry
from ..kernel.clock import wall_ms
from ..kernel.codes import Failure
from ..kernel.http import Request
from ..kernel.metrics import Metrics
from .choosing._router import Router
from .choosing._view import View, entry_key
from .claims._claim_keys import KEY_HEADER, claim_key
from .claims._claims import Claims
from .metering._meters import AnswerTiming, Meters
from .sending._dispatch import Answer, Dispatcher
from .taking._call import Call, make_call, parse_deadline
from .taking._caller import Caller
from .taking._shares import Shares

__all__ = ["CallerRequest", "FrontEnd", "OpenCall", "Serving", "run_claimed"]


T = TypeVar("T")


class CallerRequest(NamedTuple):
    """A caller's request as it came.

    Parameters
    ----------
    http : Request
    request_id : str
        The caller's own, or made here.
    arrived_ms : float
        Monotonic time.
    """

    http: Request
    request_id: str
    arrived_ms: float


class OpenCall(NamedTuple):
    """A call that was let in, and the record of its times."""

    call: Call
    timing: AnswerTiming


class Serving(NamedTuple):
    """The parts of an entry that front ends call.

    Parameters
    ----------
    view : View
    router : Router
    dispatcher : Dispatcher
    shares : Shares
    meters : Meters
    metrics : Metrics
    rng : random.Random
    now_ms : callable
        Returns the monotonic time.
    claims : Claims
    """

    view: View
    router: Router
    dispatcher: Dispatcher
    shares: Shares
    meters: Meters
    metrics: Metrics
    rng: random.Random
    now_ms: Callable[[], float]
    claims: Claims

    @contextmanager
    def open_call(
        self, request: CallerRequest, entry: Entry, prefix_hash: int = 0
    ) -> Iterator[Result[OpenCall, Failure]]:
        """Let a request in against its limits and yield it.

        Fails with BAD_HEADER, DEADLINE_PASSED or OWNER_LIMIT.
        """
        deadline = parse_deadline(
            request.http.headers.get("x-deadline-ms", ""), request.arrived_ms
        )
        if isinstance(deadline, Err):
            yield deadline
            return
        call = make_call(
            request.request_id,
            entry,
            entry_key(entry),
            prefix_hash,
            request.arrived_ms,
            deadline.unwrap(),
        )
        self.meters.record_arrival(entry)
        taken = self.shares.take(entry, request.arrived_ms)
        if isinstance(taken, Err):
            self.meters.record_miss(entry)
            yield taken
            return
        timing = AnswerTiming(call)
        self.meters.record_start(entry, self.now_ms())
        try:
            yield Success(OpenCall(call, timing))
        finally:
            self.shares.release(entry)
            self.meters.record_end(timing, self.now_ms())


async def run_claimed(
    serving: Serving,
    request: CallerRequest,
    opened: OpenCall,
    caller: Caller,
    work: Callable[[Serving, OpenCall], Awaitable[Result[T, Failure]]],
    replay: Callable[[OpenCall, Answer], Awaitable[Result[T, Failure]]],
) -> Result[T, Failure]:
    """Do the work of a request, under a claim where the request needs one.

    Parameters
    ----------
    serving : Serving
    request : CallerRequest
    opened : OpenCall
    caller : Caller
        Is told the key with each answer.
    work : callable
        Runs the request with what it is given here in place of `serving` and
        `opened`.
    replay : callable
        Gives the caller a kept answer when no attempt could be sent.
    """
    entry = opened.call.entry
    keyed = claim_key(entry, request.http, wall_ms(), serving.rng)
    if isinstance(keyed, Err):
        return keyed
    key = keyed.unwrap()
    if key is None:
        return await work(serving, opened)
    caller.headers[KEY_HEADER] = key.text
    # Chunks carry the id of the request that ran, so resends share one id.
    call = opened.call._replace(
        entry=entry._replace(repeatable=False), request_id=key.claim_id
    )
    claimed = opened._replace(call=call)
    return await serving.claims.run(
        key,
        serving.dispatcher,
        lambda dispatcher: work(serving._replace(dispatcher=dispatcher), claimed),
        lambda answer: replay(claimed, answer),
    )


class FrontEnd(Protocol):
    """One kind of request that callers make."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""

    async def serve(
        self, request: CallerRequest, caller: Caller, serving: Serving
    ) -> None:
        """Serve one request to its end."""
