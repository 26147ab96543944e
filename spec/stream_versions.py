"""Model of how an entry learns which software version began a stream.

Servers of version `a` serve; servers of `b` join, and either may leave. One stream
begins at an entry, which reports it to the leader once `b` is published, and may be
killed before that. The leader reads the list now and then and may lose all memory; the
replicated log keeps the versions. An entry without a leader reads the list itself. A
server of `a` may start again under its id as one of `b` before the list shows it. The
property: a client that resumes the stream at another entry never gets the rest from
another version.

Setting a field of `Rules` to False removes one rule from the protocol. Each of these
weakened protocols has a counterexample.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "build_stream_versions_protocol"]

# What the log keeps of a version.
UNRECORDED, CURRENT, DEPARTED = range(3)


class Rules(NamedTuple):
    """Rules that keep the text of two versions apart.

    Parameters
    ----------
    records_before_use : bool
        Servers of a version get requests only once the log names the version.
    remembers_departed : bool
        The log keeps a version that has left while its streams may be resumed.
    asks_leader : bool
        An entry that does not know a stream asks the leader, whatever it sees itself.
    begins_at_told_versions : bool
        An entry without a leader begins streams at versions of which it was told.
    proves_incarnation : bool
        A server is asked when it started before it begins or goes on with a stream.
    """

    records_before_use: bool = True
    remembers_departed: bool = True
    asks_leader: bool = True
    begins_at_told_versions: bool = True
    proves_incarnation: bool = True


class State(NamedTuple):
    """State of the servers, the log, the leader and the stream.

    Parameters
    ----------
    a_listed, b_listed : bool
    a_seen, b_seen : bool
        Whether the list showed the version when the leader read it last.
    is_renewed : bool
        Whether a server that the list shows as one of `a` is one of `b`.
    a_record, b_record : int
    b_published : bool
        Whether entries are told of servers of `b`.
    stream, believed : str
        The version that began the stream, and the one by which it is known; empty
        before that.
    entry_runs : bool
        Whether the entry at which the stream began still runs.
    leader_knows_stream : bool
    other_sees_b : bool
        Whether the other entry, which may be cut off, has been told of `b`.
    is_joined : bool
        Whether the stream was ever continued by another version.
    """

    a_listed: bool = True
    b_listed: bool = False
    a_seen: bool = True
    b_seen: bool = False
    is_renewed: bool = False
    a_record: int = CURRENT
    b_record: int = UNRECORDED
    b_published: bool = False
    stream: str = ""
    believed: str = ""
    entry_runs: bool = True
    leader_knows_stream: bool = False
    other_sees_b: bool = False
    is_joined: bool = False


def build_stream_versions_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="stream_versions",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"not_joined": lambda d: not d["is_joined"]},
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    read = state._replace(
        a_seen=state.a_listed, b_seen=state.b_listed, is_renewed=False
    )
    if not state.b_listed:
        read = read._replace(b_published=False)
    steps = [("record", _record(state, rules)), ("read_list", read)]
    if state.a_listed and state.b_record == UNRECORDED and not state.is_renewed:
        steps.append(("renew", state._replace(is_renewed=True, b_listed=True)))
    if not state.b_listed and state.b_record == UNRECORDED:
        steps.append(("join_b", state._replace(b_listed=True)))
    if state.a_listed:
        steps.append(("leave_a", state._replace(a_listed=False)))
    if state.b_listed:
        steps.append(("leave_b", state._replace(b_listed=False)))
    if state.b_seen and (state.b_record == CURRENT or not rules.records_before_use):
        steps.append(("publish_b", state._replace(b_published=True)))
    if state.b_published:
        steps.append(("tell_other", state._replace(other_sees_b=True)))
    steps += _list_stream_transitions(state, rules)
    return steps


def _list_stream_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    if not state.stream:
        steps = []
        if state.a_listed:
            steps.append(("begin_a", state._replace(stream="a", believed="a")))
        if state.b_published:
            steps.append(("begin_b", state._replace(stream="b", believed="b")))
        if state.b_listed and not rules.begins_at_told_versions:
            alone = state._replace(stream="b", believed="b")
            steps.append(("begin_b_without_leader", alone))
        if state.is_renewed and not rules.proves_incarnation:
            mistaken = state._replace(stream="b", believed="a")
            steps.append(("begin_at_renewed", mistaken))
        return steps
    steps = [
        ("kill_entry", state._replace(entry_runs=False)),
        ("lose_leader", state._replace(leader_knows_stream=False)),
        ("resume", _resume(state, _find_version(state))),
    ]
    if state.entry_runs and state.b_published:
        steps.append(("report", state._replace(leader_knows_stream=True)))
    if not rules.asks_leader and not state.other_sees_b:
        steps.append(("resume_by_own_view", _resume(state, "a")))
    is_mistaken = state.is_renewed and not rules.proves_incarnation
    if is_mistaken and _find_version(state) == "a":
        steps.append(("resume_at_renewed", _resume(state, "b")))
    return steps


def _record(state: State, rules: Rules) -> State:
    gone = DEPARTED if rules.remembers_departed else UNRECORDED

    def change(is_listed: bool, record: int) -> int:
        if is_listed:
            return CURRENT
        return gone if record == CURRENT else record

    return state._replace(
        a_record=change(state.a_seen, state.a_record),
        b_record=change(state.b_seen, state.b_record),
    )


def _find_version(state: State) -> str:
    """Return the leader's answer; empty if the version is not certain."""
    if state.leader_knows_stream:
        return state.believed
    possible = [
        version
        for version, is_seen, record in (
            ("a", state.a_seen, state.a_record),
            ("b", state.b_seen, state.b_record),
        )
        if is_seen or record != UNRECORDED
    ]
    return possible[0] if len(possible) == 1 else ""


def _resume(state: State, version: str) -> State:
    is_joined = bool(version) and version != state.stream
    return state._replace(is_joined=state.is_joined or is_joined)
