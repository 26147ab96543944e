"""Records how far one request has come, for the parts of the entry that serve it."""

import enum
from typing import NamedTuple

from ...kernel.http_connection import AnswerHead
from ...kernel.messages import ServerView
from ._customer_limits import RequestAllowance
from ._event_order import EventOrder
from ._retries import AttemptCounts

__all__ = ["AnswerStage", "GivenUpAttempt", "RequestProgress"]


class AnswerStage(enum.StrEnum):
    """How far the answer to an attempt has come."""

    AWAITED = "awaited"
    BEGUN = "begun"
    EVENTS = "events"


class GivenUpAttempt(NamedTuple):
    """An attempt that the entry ended; its server may still work on it.

    Parameters
    ----------
    server_id : str
    addr : str
        ``ip:port`` of the server.
    closed_at_ms : float
        When the entry closed the connection.
    """

    server_id: str
    addr: str
    closed_at_ms: float


class RequestProgress:
    """How far one request has come, over all its attempts.

    Attributes
    ----------
    attempt_counts : AttemptCounts
    has_started : bool
        Whether the caller has been sent the head of an answer.
    answer_stage : AnswerStage
        How far the answer to the present attempt has come.
    server : ServerView or None
        The server of the present attempt, as it was known when that was sent.
    is_incarnation_proven : bool
        Whether the present attempt certainly went to the listed incarnation of its
        server.
    given_up : GivenUpAttempt or None
        The last attempt, if the entry ended it.
    may_have_ended_server : bool
        Whether the last attempt may have ended its server.
    software_version : str
        Version of the server that answers, or began the stream.
    sent_version : str
        Version of the server that got the present attempt.
    is_resumed : bool
        Whether the client resumes a stream that `software_version` began.
    last_event_id : bytes
        Id of the last event that was forwarded; empty for none.
    allowance : RequestAllowance or None
        What the request takes from its customer's limit; None without a limit.
    event_order : EventOrder
        Checks the ids of the events that are forwarded.
    error_answer : tuple of AnswerHead and bytes, or None
        The last error that a server answered, with its body.
    """

    def __init__(self):
        self.attempt_counts = AttemptCounts()
        self.has_started = False
        self.answer_stage = AnswerStage.AWAITED
        self.server: ServerView | None = None
        self.is_incarnation_proven = False
        self.given_up: GivenUpAttempt | None = None
        self.may_have_ended_server = False
        self.software_version = ""
        self.sent_version = ""
        self.is_resumed = False
        self.last_event_id = b""
        self.allowance: RequestAllowance | None = None
        self.event_order = EventOrder()
        self.error_answer: tuple[AnswerHead, bytes] | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some server has not disproved that it ran the request."""
        return self.attempt_counts.n_possibly_run > 0

    @property
    def must_keep_version(self) -> bool:
        """Whether the client has events, which no other version may continue."""
        return self.has_started or self.is_resumed

    def may_continue_at(self, software_version: str) -> bool:
        """Return whether a server of a version may get the request now."""
        return not self.must_keep_version or software_version == self.software_version
