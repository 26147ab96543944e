"""Model of the protocol of idempotency claims, for one idempotency key.

Callers submit the same request through several entries. Two agents can run the
request, and their processes may restart. The replicated log is modelled as one
place that changes one step at a time. A dispatch of an attempt to an agent may be
delayed in transit. A duplicate of a dispatch may arrive after it, but never before
it, because each dispatch has its own connection. Any answer may be lost, including
an agent's answer to the question how an attempt ended. A crashed entry is a
submission that takes no further step, and a lost dispatch is one that never
arrives, so neither has a step of its own.

Setting a field of `Rules` to False removes one rule from the protocol. Each of
these weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["Bounds", "Rules", "build_claims_protocol"]

AGENTS = (0, 1)

# Phases of a submission.
IDLE = "idle"
ATTEMPT_OPENED = "attempt_opened"
DISPATCHED = "dispatched"
REFUSED = "refused"
ASKS_AGENT = "asks_agent"
KNOWS_VOID = "knows_void"
KNOWS_ANSWER = "knows_answer"
KNOWS_UNKNOWN = "knows_unknown"
READS_LOG = "reads_log"
ENDED = "ended"
# Phases in which a submission refers to an attempt.
PHASES_WITH_ATTEMPT = (
    ATTEMPT_OPENED,
    DISPATCHED,
    REFUSED,
    ASKS_AGENT,
    KNOWS_VOID,
    KNOWS_ANSWER,
    KNOWS_UNKNOWN,
)


class Rules(NamedTuple):
    """Rules that ensure a request runs at most once and callers are told the truth.

    Parameters
    ----------
    checks_incarnation : bool
        An agent refuses a dispatch that names another incarnation.
    records_void : bool
        An agent records that an attempt is void before it reports so.
    records_start : bool
        An agent records the start of an attempt before running it, and refuses
        every later dispatch of the same attempt.
    restart_means_unknown : bool
        The result of an attempt at an earlier incarnation is unknown, not void.
    checks_current_attempt : bool
        The log records the end of the current attempt only.
    matches_answer_to_copy : bool
        The answer to a duplicate of a dispatch is not taken for the answer to the
        original.
    records_not_run : bool
        A caller is told "not run" only after the log says that no attempt is open.
    closes_epoch : bool
        After "not run" was recorded, only a submission that arrives later may open
        an attempt.
    """

    checks_incarnation: bool = True
    records_void: bool = True
    records_start: bool = True
    restart_means_unknown: bool = True
    checks_current_attempt: bool = True
    matches_answer_to_copy: bool = True
    records_not_run: bool = True
    closes_epoch: bool = True


class Bounds(NamedTuple):
    """Bounds of the state space.

    Parameters
    ----------
    n_submissions : int
        Submissions of the request, each through its own entry.
    max_attempts : int
        Attempts to run the request.
    max_duplicates : int
        Dispatches that arrive a second time.
    max_restarts : int
        Restarts of agents.
    """

    n_submissions: int = 2
    max_attempts: int = 2
    max_duplicates: int = 1
    max_restarts: int = 1


class Attempt(NamedTuple):
    """The agent and holder of an attempt, as recorded in the log."""

    agent: int
    incarnation: int
    holder: int


FORGOTTEN_ATTEMPT = Attempt(0, 0, 0)


class Dispatch(NamedTuple):
    """One message that dispatches an attempt, or a duplicate of it."""

    attempt: int
    is_duplicate: bool = False


class Submission(NamedTuple):
    """What the entry that handles one submission knows."""

    phase: str = IDLE
    attempt: int = 0
    epoch: int = 0


class State(NamedTuple):
    """State of the log, the agents, the dispatches in transit and the submissions.

    Parameters
    ----------
    status : str
        Status of the claim: new, open, free, released, answered or unknown.
    epoch : int
        Increases when a new submission follows a recorded "not run".
    attempts : tuple of Opened
        All attempts; the last one is current.
    incarnations : tuple of int
        Current incarnation of each agent.
    agent_records : tuple of str
        What its agent has recorded of each attempt: empty, ran or void.
    in_transit : tuple of Dispatch
        Dispatches in transit, sorted.
    submissions : tuple of Submission
    excluded : tuple of int
        Indices of the submissions that had begun when "not run" was reported.
    n_runs, n_restarts, n_duplicates : int
    misinformed : bool
        Whether a caller was told "not run" although the request had run or runs
        later, or was given an answer although the request had not run.
    """

    status: str = "new"
    epoch: int = 0
    attempts: tuple[Attempt, ...] = ()
    incarnations: tuple[int, ...] = (0, 0)
    agent_records: tuple[str, ...] = ()
    in_transit: tuple[Dispatch, ...] = ()
    submissions: tuple[Submission, ...] = ()
    excluded: tuple[int, ...] = ()
    n_runs: int = 0
    n_restarts: int = 0
    n_duplicates: int = 0
    misinformed: bool = False


Step = tuple[str, State]


def _replace_at(values: tuple, index: int, value: Any) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _update_submission(
    state: State, submission_index: int, phase: str, **fields: Any
) -> State:
    updated = state.submissions[submission_index]._replace(phase=phase, **fields)
    return state._replace(
        submissions=_replace_at(state.submissions, submission_index, updated)
    )


def _end_submission(state: State, submission_index: int) -> State:
    """End a submission; `State.misinformed` tells whether its answer was true."""
    return _update_submission(state, submission_index, ENDED, attempt=0, epoch=0)


def _open_attempt(state: State, submission_index: int, bounds: Bounds) -> list[State]:
    """Open the next attempt at any agent, at its current or initial incarnation."""
    if len(state.attempts) == bounds.max_attempts:
        return []
    agents = AGENTS if state.attempts else AGENTS[:1]
    candidates = {
        (agent, incarnation)
        for agent in agents
        for incarnation in (0, state.incarnations[agent])
    }
    return [
        _update_submission(
            state._replace(
                status="open",
                attempts=(
                    *state.attempts,
                    Attempt(agent, incarnation, submission_index),
                ),
                agent_records=(*state.agent_records, ""),
            ),
            submission_index,
            ATTEMPT_OPENED,
            attempt=len(state.attempts),
            epoch=state.epoch,
        )
        for agent, incarnation in sorted(candidates)
    ]


def _begin_submission(
    state: State, submission_index: int, bounds: Bounds
) -> list[Step]:
    """Record a new submission in the log."""
    if state.status in ("open", "answered", "unknown"):
        reading = _update_submission(
            state, submission_index, READS_LOG, epoch=state.epoch
        )
        return [("begin_submission", reading)]
    if state.status == "released":
        state = state._replace(epoch=state.epoch + 1)
    return [
        ("begin_submission", opened_state)
        for opened_state in _open_attempt(state, submission_index, bounds)
    ]


def _read_log(
    state: State, submission_index: int, rules: Rules, bounds: Bounds
) -> list[Step]:
    """Choose the next step of a submission by the status of the claim in the log."""
    match state.status:
        case "open":
            asking = _update_submission(
                state, submission_index, ASKS_AGENT, attempt=len(state.attempts) - 1
            )
            return [("read_log", asking)]
        case "answered":
            ended_state = _end_submission(state, submission_index)
            misinformed = state.misinformed or state.n_runs == 0
            return [("read_log", ended_state._replace(misinformed=misinformed))]
        case "unknown":
            return [("read_log", _end_submission(state, submission_index))]
        case "released":
            return [("read_log", _report_not_run(state, submission_index))]
        case _ if state.epoch != state.submissions[submission_index].epoch:
            return [("read_log", _end_submission(state, submission_index))]
        case _:
            released = "released" if rules.closes_epoch else "free"
            closed = _report_not_run(state._replace(status=released), submission_index)
            return [
                ("give_up", closed),
                *(
                    ("open_attempt", opened_state)
                    for opened_state in _open_attempt(state, submission_index, bounds)
                ),
            ]


def _report_not_run(state: State, submission_index: int) -> State:
    """Report "not run"; no submission that has begun may run the request later."""
    excluded = tuple(
        index
        for index, submission in enumerate(state.submissions)
        if submission.phase != IDLE
    )
    reported = _end_submission(state, submission_index)
    return reported._replace(
        excluded=excluded, misinformed=state.misinformed or state.n_runs > 0
    )


def _record_attempt_end(
    state: State, submission_index: int, status: str, rules: Rules
) -> State:
    """Record in the log the end of the attempt that a submission refers to."""
    submission = state.submissions[submission_index]
    current = submission.attempt == len(state.attempts) - 1
    if state.status == "open" and (current or not rules.checks_current_attempt):
        state = state._replace(status=status)
    return _update_submission(state, submission_index, READS_LOG, attempt=0)


def _ask_agent(state: State, submission_index: int, rules: Rules) -> list[Step]:
    """Ask the agent of an attempt how it ended; the answer may be lost."""
    attempt = state.submissions[submission_index].attempt
    attempt_info = state.attempts[attempt]
    if attempt_info.incarnation != state.incarnations[attempt_info.agent]:
        phase = KNOWS_UNKNOWN if rules.restart_means_unknown else KNOWS_VOID
        return [("ask", _update_submission(state, submission_index, phase))]
    if state.agent_records[attempt] == "ran":
        return [
            ("ask", _update_submission(state, submission_index, KNOWS_ANSWER)),
            ("ask_cut", _update_submission(state, submission_index, KNOWS_UNKNOWN)),
        ]
    if rules.records_void:
        state = state._replace(
            agent_records=_replace_at(state.agent_records, attempt, "void")
        )
    return [
        ("ask", _update_submission(state, submission_index, KNOWS_VOID)),
        ("ask_lost", state),
    ]


def _advance_submission(
    state: State, submission_index: int, rules: Rules, bounds: Bounds
) -> list[Step]:
    """Take the next step of one submission."""
    submission = state.submissions[submission_index]
    match submission.phase:
        case "idle" if (
            submission_index == 0
            or state.submissions[submission_index - 1].phase != IDLE
        ):
            return _begin_submission(state, submission_index, bounds)
        case "attempt_opened":
            in_transit = tuple(
                sorted((*state.in_transit, Dispatch(submission.attempt)))
            )
            return [
                (
                    "dispatch",
                    _update_submission(
                        state._replace(in_transit=in_transit),
                        submission_index,
                        DISPATCHED,
                    ),
                )
            ]
        case "dispatched":
            return [
                (
                    "connection_lost",
                    _update_submission(state, submission_index, ASKS_AGENT),
                )
            ]
        case "refused" if not rules.records_not_run:
            return [("report_not_run", _report_not_run(state, submission_index))]
        case "refused" | "knows_void":
            return [
                (
                    "record_void",
                    _record_attempt_end(state, submission_index, "free", rules),
                )
            ]
        case "knows_answer":
            return [
                (
                    "record_end",
                    _record_attempt_end(state, submission_index, "answered", rules),
                )
            ]
        case "knows_unknown":
            return [
                (
                    "record_end",
                    _record_attempt_end(state, submission_index, "unknown", rules),
                )
            ]
        case "asks_agent":
            return _ask_agent(state, submission_index, rules)
        case "reads_log":
            return _read_log(state, submission_index, rules, bounds)
        case _:
            return []


def _deliver_dispatch(state: State, dispatch: Dispatch, rules: Rules) -> list[Step]:
    """Deliver a dispatch to its agent; the answer arrives or is lost."""
    attempt = dispatch.attempt
    attempt_info = state.attempts[attempt]
    stale = attempt_info.incarnation != state.incarnations[attempt_info.agent]
    refuses = stale and rules.checks_incarnation
    if rules.records_start and state.agent_records[attempt] == "ran":
        return [("refuse_repeated_dispatch", state)]
    if refuses or state.agent_records[attempt] == "void":
        answer, after = REFUSED, state
    else:
        excluded = attempt_info.holder in state.excluded
        answer, after = (
            KNOWS_ANSWER,
            state._replace(
                agent_records=_replace_at(state.agent_records, attempt, "ran"),
                n_runs=state.n_runs + 1,
                misinformed=state.misinformed or excluded,
            ),
        )
    steps = [("answer_lost", after)]
    holder = state.submissions[attempt_info.holder]
    waits = holder.phase == DISPATCHED and holder.attempt == attempt
    if waits and not (dispatch.is_duplicate and rules.matches_answer_to_copy):
        steps.append(("answer", _update_submission(after, attempt_info.holder, answer)))
    return steps


def _deliver_dispatches(state: State, rules: Rules, bounds: Bounds) -> list[Step]:
    """Deliver any dispatch in transit, with or without a duplicate left behind."""
    steps = []
    for index, dispatch in enumerate(state.in_transit):
        remaining = state._replace(
            in_transit=state.in_transit[:index] + state.in_transit[index + 1 :]
        )
        steps.extend(_deliver_dispatch(remaining, dispatch, rules))
        if state.n_duplicates < bounds.max_duplicates:
            copies = (*remaining.in_transit, Dispatch(dispatch.attempt, True))
            duplicated = remaining._replace(
                in_transit=tuple(sorted(copies)), n_duplicates=state.n_duplicates + 1
            )
            steps.extend(_deliver_dispatch(duplicated, dispatch, rules))
    return steps


def _restart_agents(state: State, bounds: Bounds) -> list[Step]:
    """Restart an agent, which loses what it had recorded of attempts."""
    if state.n_restarts == bounds.max_restarts:
        return []
    steps = []
    for agent in AGENTS:
        agent_records = tuple(
            "" if attempt_info.agent == agent else agent_record
            for attempt_info, agent_record in zip(
                state.attempts, state.agent_records, strict=True
            )
        )
        incarnation = state.incarnations[agent] + 1
        restarted = state._replace(
            incarnations=_replace_at(state.incarnations, agent, incarnation),
            agent_records=agent_records,
            n_restarts=state.n_restarts + 1,
        )
        steps.append(("agent_restarts", restarted))
    return steps


def _drop_unused_attempts(state: State) -> State:
    """Drop attempts that nothing refers to, so that equivalent states are equal."""
    used = {dispatch.attempt for dispatch in state.in_transit}
    used.update(
        submission.attempt
        for submission in state.submissions
        if submission.phase in PHASES_WITH_ATTEMPT
    )
    if state.status == "open":
        used.add(len(state.attempts) - 1)
    numbers = range(len(state.attempts))
    return state._replace(
        attempts=tuple(
            state.attempts[n] if n in used else FORGOTTEN_ATTEMPT for n in numbers
        ),
        agent_records=tuple(
            state.agent_records[n] if n in used else "" for n in numbers
        ),
    )


def build_claims_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under some rules, within some bounds."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        if state.misinformed or state.n_runs > 1:
            return []
        steps = [
            *_deliver_dispatches(state, rules, bounds),
            *_restart_agents(state, bounds),
        ]
        for submission_index in range(bounds.n_submissions):
            steps.extend(_advance_submission(state, submission_index, rules, bounds))
        return [(label, tuple(_drop_unused_attempts(after))) for label, after in steps]

    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=tuple(State(submissions=(Submission(),) * bounds.n_submissions)),
        transitions=transitions,
        invariants={
            "at_most_once": lambda d: d["n_runs"] <= 1,
            "callers_told_truth": lambda d: not d["misinformed"],
            "last_attempt_never_answers": lambda d: (
                not (
                    d["status"] == "answered"
                    and len(d["attempts"]) == bounds.max_attempts
                )
            ),
        },
    )
