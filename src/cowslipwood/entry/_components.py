"""The components of an entry that front ends use to serve a request."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalogue import CatalogueEntry
from ..kernel.clock import wall_ms
from ..kernel.codes import Failure
from ..kernel.http import Request
from ..kernel.metrics import Metrics
from .choosing._router import Router
from .choosing._view import FleetView, make_entry_key
from .claims._claim_keys import KEY_HEADER, make_claim_key
from .claims._claims import Claims
from .metering._meters import AnswerTiming, RequestMeters
from .receiving._answer_writer import AnswerWriter
from .receiving._call import Call, make_call, parse_deadline
from .receiving._limit_shares import LimitShares
from .sending._dispatcher import Answer, Dispatcher

__all__ = [
    "CallerRequest",
    "FrontEnd",
    "AdmittedCall",
    "EntryComponents",
    "run_with_claim",
]


T = TypeVar("T")


class CallerRequest(NamedTuple):
    """A caller's request as it was received.

    Parameters
    ----------
    http : Request
    request_id : str
        The id that the caller sent, or a generated one.
    arrived_ms : float
        Monotonic time of arrival.
    """

    http: Request
    request_id: str
    arrived_ms: float


class AdmittedCall(NamedTuple):
    """A call that was admitted within its limits, and the record of its times."""

    call: Call
    timing: AnswerTiming


class EntryComponents(NamedTuple):
    """The components of an entry that front ends use.

    Parameters
    ----------
    view : FleetView
    router : Router
    dispatcher : Dispatcher
    limit_shares : LimitShares
    meters : RequestMeters
    metrics : Metrics
    rng : random.Random
    now_ms : callable
        Returns the monotonic time.
    claims : Claims
    """

    view: FleetView
    router: Router
    dispatcher: Dispatcher
    limit_shares: LimitShares
    meters: RequestMeters
    metrics: Metrics
    rng: random.Random
    now_ms: Callable[[], float]
    claims: Claims

    @contextmanager
    def admit_call(
        self, request: CallerRequest, entry: CatalogueEntry, prefix_hash: int = 0
    ) -> Iterator[Result[AdmittedCall, Failure]]:
        """Check a request against its entry's limits and yield the admitted call.

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
            make_entry_key(entry),
            prefix_hash,
            request.arrived_ms,
            deadline.unwrap(),
        )
        self.meters.record_arrival(entry)
        admission = self.limit_shares.admit(entry, request.arrived_ms)
        if isinstance(admission, Err):
            self.meters.record_miss(entry)
            yield admission
            return
        timing = AnswerTiming(call)
        self.meters.record_start(entry, self.now_ms())
        try:
            yield Success(AdmittedCall(call, timing))
        finally:
            self.limit_shares.release(entry)
            self.meters.record_end(timing, self.now_ms())


async def run_with_claim(
    components: EntryComponents,
    request: CallerRequest,
    admitted: AdmittedCall,
    writer: AnswerWriter,
    run_request: Callable[
        [EntryComponents, AdmittedCall], Awaitable[Result[T, Failure]]
    ],
    replay_answer: Callable[[AdmittedCall, Answer], Awaitable[Result[T, Failure]]],
) -> Result[T, Failure]:
    """Run a request, under a claim if the request needs one.

    Parameters
    ----------
    components : EntryComponents
    request : CallerRequest
    admitted : AdmittedCall
    writer : AnswerWriter
        Gets the key as a header of each answer.
    run_request : callable
        Runs the request with the components and the call that are passed to it.
        For a claimed request these differ from `components` and `admitted`.
    replay_answer : callable
        Sends a stored answer to the caller when no attempt could be sent.
    """
    entry = admitted.call.entry
    key_result = make_claim_key(entry, request.http, wall_ms(), components.rng)
    if isinstance(key_result, Err):
        return key_result
    key = key_result.unwrap()
    if key is None:
        return await run_request(components, admitted)
    writer.headers[KEY_HEADER] = key.idempotency_key
    # Tokens carry the id of the request that ran. Resends use the same id, so that
    # tokens of a stored answer are accepted.
    call = admitted.call._replace(
        entry=entry._replace(repeatable=False), request_id=key.claim_id
    )
    claimed_call = admitted._replace(call=call)
    return await components.claims.run(
        key,
        components.dispatcher,
        lambda dispatcher: run_request(
            components._replace(dispatcher=dispatcher), claimed_call
        ),
        lambda answer: replay_answer(claimed_call, answer),
    )


class FrontEnd(Protocol):
    """Serves one kind of request from callers."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, components: EntryComponents
    ) -> None:
        """Serve one request to its end."""
