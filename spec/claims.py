"""The protocol of idempotency claims for one key.

Submissions of one request arrive through entries, and two agents, whose
processes may be restarted, may run it. The log is one place that takes a step at
a time. Dispatches wait on the way, and a copy of one may arrive again later, but
not before it, since a dispatch has a connection of its own. Answers may be lost,
also those of an agent that is asked how an attempt ended. An entry that dies is
one that takes no further step, and a dispatch that is lost is one that never
arrives, so neither needs a step of its own.

A `Rules` field set to False leaves out one rule of the protocol; each of these
weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["Bounds", "Rules", "claims"]

AGENTS = (0, 1)

IDLE = "idle"
HOLDS = "holds"
SENT = "sent"
REFUSED = "refused"
ASKS = "asks"
KNOWS_VOID = "knows_void"
KNOWS_ANSWER = "knows_answer"
KNOWS_UNKNOWN = "knows_unknown"
LOOKS = "looks"
OVER = "over"
KNOWS_ATTEMPT = (HOLDS, SENT, REFUSED, ASKS, KNOWS_VOID, KNOWS_ANSWER, KNOWS_UNKNOWN)


class Rules(NamedTuple):
    """The rules that make a request run at most once.

    Parameters
    ----------
    checks_incarnation : bool
        An agent refuses a dispatch made for another incarnation.
    leaves_tombstone : bool
        An agent marks an attempt as void before it says so.
    marks_begun : bool
        An agent marks an attempt as begun before it runs it, and refuses it
        from then on.
    restart_is_unknown : bool
        An attempt at an earlier incarnation is unknown, and not void.
    checks_attempt : bool
        The log records the end of no attempt but the present one.
    own_answer : bool
        The answer to a doubled dispatch is not taken for that to the first one.
    records_not_run : bool
        "Not run" is told once the log says that no attempt is open.
    closes_epoch : bool
        Once "not run" was recorded, only a submission that comes after it may
        open an attempt.
    """

    checks_incarnation: bool = True
    leaves_tombstone: bool = True
    marks_begun: bool = True
    restart_is_unknown: bool = True
    checks_attempt: bool = True
    own_answer: bool = True
    records_not_run: bool = True
    closes_epoch: bool = True


class Bounds(NamedTuple):
    """How far the model goes.

    Parameters
    ----------
    n_submissions : int
        Of the one request, through as many entries.
    max_attempts : int
    max_doubles : int
        Dispatches of which a copy arrives again.
    max_restarts : int
        Restarts of agents.
    """

    n_submissions: int = 2
    max_attempts: int = 2
    max_doubles: int = 1
    max_restarts: int = 1


class Opened(NamedTuple):
    """An attempt as the log has recorded it."""

    agent: int
    incarnation: int
    holder: int


GONE = Opened(0, 0, 0)


class Dispatch(NamedTuple):
    """One copy of an attempt's dispatch."""

    attempt: int
    doubled: bool = False


class Submission(NamedTuple):
    """What the entry of one submission knows."""

    step: str = IDLE
    attempt: int = 0
    epoch: int = 0


class State(NamedTuple):
    """The log, the agents, the way between, and the submissions.

    Parameters
    ----------
    status : str
        new, open, free, released, answered or unknown.
    epoch : int
    attempts : tuple of Opened
        The last one is the present one.
    incarnations : tuple of int
        By agent.
    marks : tuple of str
        By attempt, what its agent has marked: empty, ran or void.
    sent : tuple of Dispatch
        Those on the way; sorted.
    submissions : tuple of Submission
    barred : tuple of int
        Submissions that were in the log when "not run" was told.
    n_runs, n_restarts, n_doubles : int
    lied : bool
        Whether a caller was told "not run" of a request that ran, or that runs
        afterwards, or was given an answer of one that did not run.
    """

    status: str = "new"
    epoch: int = 0
    attempts: tuple[Opened, ...] = ()
    incarnations: tuple[int, ...] = (0, 0)
    marks: tuple[str, ...] = ()
    sent: tuple[Dispatch, ...] = ()
    submissions: tuple[Submission, ...] = ()
    barred: tuple[int, ...] = ()
    n_runs: int = 0
    n_restarts: int = 0
    n_doubles: int = 0
    lied: bool = False


Step = tuple[str, State]


def _set(values: tuple, place: int, value: Any) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def _move(state: State, who: int, step: str, **fields: Any) -> State:
    moved = state.submissions[who]._replace(step=step, **fields)
    return state._replace(submissions=_set(state.submissions, who, moved))


def _end(state: State, who: int) -> State:
    """Give a caller its last word; whether it was true has been noted."""
    return _move(state, who, OVER, attempt=0, epoch=0)


def _open(state: State, who: int, bounds: Bounds) -> list[State]:
    """Open the next attempt at any agent, as known now or before a restart."""
    if len(state.attempts) == bounds.max_attempts:
        return []
    agents = AGENTS if state.attempts else AGENTS[:1]
    places = {
        (agent, incarnation)
        for agent in agents
        for incarnation in (0, state.incarnations[agent])
    }
    return [
        _move(
            state._replace(
                status="open",
                attempts=(*state.attempts, Opened(agent, incarnation, who)),
                marks=(*state.marks, ""),
            ),
            who,
            HOLDS,
            attempt=len(state.attempts),
            epoch=state.epoch,
        )
        for agent, incarnation in sorted(places)
    ]


def _begin(state: State, who: int, bounds: Bounds) -> list[Step]:
    """Take a fresh submission into the log."""
    if state.status in ("open", "answered", "unknown"):
        looks = _move(state, who, LOOKS, epoch=state.epoch)
        return [("begin", looks)]
    if state.status == "released":
        state = state._replace(epoch=state.epoch + 1)
    return [("begin", each) for each in _open(state, who, bounds)]


def _look(state: State, who: int, rules: Rules, bounds: Bounds) -> list[Step]:
    """Go on from what the log says now."""
    match state.status:
        case "open":
            asks = _move(state, who, ASKS, attempt=len(state.attempts) - 1)
            return [("look", asks)]
        case "answered":
            ended = _end(state, who)
            lied = state.lied or state.n_runs == 0
            return [("look", ended._replace(lied=lied))]
        case "unknown":
            return [("look", _end(state, who))]
        case "released":
            return [("look", _tell_not_run(state, who))]
        case _ if state.epoch != state.submissions[who].epoch:
            return [("look", _end(state, who))]
        case _:
            released = "released" if rules.closes_epoch else "free"
            closed = _tell_not_run(state._replace(status=released), who)
            return [
                ("give_up", closed),
                *(("next", s) for s in _open(state, who, bounds)),
            ]


def _tell_not_run(state: State, who: int) -> State:
    """Tell "not run", which bars all that the log has seen so far."""
    barred = tuple(
        place for place, each in enumerate(state.submissions) if each.step != IDLE
    )
    told = _end(state, who)
    return told._replace(barred=barred, lied=state.lied or state.n_runs > 0)


def _finish(state: State, who: int, status: str, rules: Rules) -> State:
    """Record the end of the attempt that a submission knows."""
    known = state.submissions[who]
    current = known.attempt == len(state.attempts) - 1
    if state.status == "open" and (current or not rules.checks_attempt):
        state = state._replace(status=status)
    return _move(state, who, LOOKS, attempt=0)


def _ask(state: State, who: int, rules: Rules) -> list[Step]:
    """Ask the attempt's agent; the answer is lost, or comes."""
    attempt = state.submissions[who].attempt
    opened = state.attempts[attempt]
    if opened.incarnation != state.incarnations[opened.agent]:
        known = KNOWS_UNKNOWN if rules.restart_is_unknown else KNOWS_VOID
        return [("ask", _move(state, who, known))]
    if state.marks[attempt] == "ran":
        return [
            ("ask", _move(state, who, KNOWS_ANSWER)),
            ("ask_cut", _move(state, who, KNOWS_UNKNOWN)),
        ]
    if rules.leaves_tombstone:
        state = state._replace(marks=_set(state.marks, attempt, "void"))
    return [("ask", _move(state, who, KNOWS_VOID)), ("ask_lost", state)]


def _advance(state: State, who: int, rules: Rules, bounds: Bounds) -> list[Step]:
    """Take the next step of one submission."""
    known = state.submissions[who]
    match known.step:
        case "idle" if who == 0 or state.submissions[who - 1].step != IDLE:
            return _begin(state, who, bounds)
        case "holds":
            sent = tuple(sorted((*state.sent, Dispatch(known.attempt))))
            return [("send", _move(state._replace(sent=sent), who, SENT))]
        case "sent":
            return [("connection_lost", _move(state, who, ASKS))]
        case "refused" if not rules.records_not_run:
            return [("tell", _tell_not_run(state, who))]
        case "refused" | "knows_void":
            return [("void", _finish(state, who, "free", rules))]
        case "knows_answer":
            return [("record", _finish(state, who, "answered", rules))]
        case "knows_unknown":
            return [("record", _finish(state, who, "unknown", rules))]
        case "asks":
            return _ask(state, who, rules)
        case "looks":
            return _look(state, who, rules, bounds)
        case _:
            return []


def _deliver(state: State, dispatch: Dispatch, rules: Rules) -> list[Step]:
    """Let a dispatch arrive; its answer comes or is lost."""
    attempt = dispatch.attempt
    opened = state.attempts[attempt]
    stale = opened.incarnation != state.incarnations[opened.agent]
    refuses = stale and rules.checks_incarnation
    if rules.marks_begun and state.marks[attempt] == "ran":
        return [("repeated", state)]
    if refuses or state.marks[attempt] == "void":
        answer, after = REFUSED, state
    else:
        barred = opened.holder in state.barred
        answer, after = (
            KNOWS_ANSWER,
            state._replace(
                marks=_set(state.marks, attempt, "ran"),
                n_runs=state.n_runs + 1,
                lied=state.lied or barred,
            ),
        )
    steps = [("answer_lost", after)]
    holder = state.submissions[opened.holder]
    waits = holder.step == SENT and holder.attempt == attempt
    if waits and not (dispatch.doubled and rules.own_answer):
        steps.append(("answer", _move(after, opened.holder, answer)))
    return steps


def _arrivals(state: State, rules: Rules, bounds: Bounds) -> list[Step]:
    """Let a dispatch arrive, of which a copy may arrive again."""
    steps = []
    for place, dispatch in enumerate(state.sent):
        left = state._replace(sent=state.sent[:place] + state.sent[place + 1 :])
        steps.extend(_deliver(left, dispatch, rules))
        if state.n_doubles < bounds.max_doubles:
            copies = (*left.sent, Dispatch(dispatch.attempt, True))
            more = left._replace(
                sent=tuple(sorted(copies)), n_doubles=state.n_doubles + 1
            )
            steps.extend(_deliver(more, dispatch, rules))
    return steps


def _restarts(state: State, bounds: Bounds) -> list[Step]:
    """Start an agent anew, without what it had marked."""
    if state.n_restarts == bounds.max_restarts:
        return []
    steps = []
    for agent in AGENTS:
        marks = tuple(
            "" if opened.agent == agent else mark
            for opened, mark in zip(state.attempts, state.marks, strict=True)
        )
        incarnation = state.incarnations[agent] + 1
        restarted = state._replace(
            incarnations=_set(state.incarnations, agent, incarnation),
            marks=marks,
            n_restarts=state.n_restarts + 1,
        )
        steps.append(("agent_restarts", restarted))
    return steps


def _forget(state: State) -> State:
    """Drop what nothing can ask for any more, so that like states are one."""
    live = {dispatch.attempt for dispatch in state.sent}
    live.update(
        each.attempt for each in state.submissions if each.step in KNOWS_ATTEMPT
    )
    if state.status == "open":
        live.add(len(state.attempts) - 1)
    numbers = range(len(state.attempts))
    return state._replace(
        attempts=tuple(state.attempts[n] if n in live else GONE for n in numbers),
        marks=tuple(state.marks[n] if n in live else "" for n in numbers),
    )


def claims(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under `rules`, as far as `bounds`."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        if state.lied or state.n_runs > 1:
            return []
        steps = [*_arrivals(state, rules, bounds), *_restarts(state, bounds)]
        for who in range(bounds.n_submissions):
            steps.extend(_advance(state, who, rules, bounds))
        return [(label, tuple(_forget(after))) for label, after in steps]

    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=tuple(State(submissions=(Submission(),) * bounds.n_submissions)),
        transitions=transitions,
        invariants={
            "at_most_once": lambda d: d["n_runs"] <= 1,
            "told_the_truth": lambda d: not d["lied"],
            "never_runs_at_the_last": lambda d: (
                not (
                    d["status"] == "answered"
                    and len(d["attempts"]) == bounds.max_attempts
                )
            ),
        },
    )
