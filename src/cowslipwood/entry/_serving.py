"""What the front ends share: the parts of an entry that serve a request."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalogue import Entry
from ..kernel.codes import Failure
from ..kernel.http import Request
from ..kernel.metrics import Metrics
from ._call import Call, make_call, parse_deadline
from ._caller import Caller
from ._claims import Claims
from ._dispatch import Dispatcher
from ._meters import Meters, Timing
from ._router import Router
from ._shares import Shares
from ._view import View, entry_key

__all__ = ["CallerRequest", "FrontEnd", "OpenCall", "Serving"]


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
    timing: Timing


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
    claims : Claims or None
        Runs the requests that may run at most once; None claims no request.
    """

    view: View
    router: Router
    dispatcher: Dispatcher
    shares: Shares
    meters: Meters
    metrics: Metrics
    rng: random.Random
    now_ms: Callable[[], float]
    claims: Claims | None = None

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
        self.meters.arrived(entry)
        taken = self.shares.take(entry, request.arrived_ms)
        if isinstance(taken, Err):
            self.meters.missed(entry)
            yield taken
            return
        timing = Timing(call)
        self.meters.began(entry, self.now_ms())
        try:
            yield Success(OpenCall(call, timing))
        finally:
            self.shares.release(entry)
            self.meters.ended(timing, self.now_ms())


class FrontEnd(Protocol):
    """One kind of request that callers make."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""

    async def serve(
        self, request: CallerRequest, caller: Caller, serving: Serving
    ) -> None:
        """Serve one request to its end."""
