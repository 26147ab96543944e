"""Model of the removal of a customer's key at an entry.

Two keepers lead in turn. Version 2 of the document lacks the key; a leader confirms it
at some time. The entry asks a keeper, whether that leads or not, for the version in
force. Questions, replies and documents may stay in transit for any time, as they do
while a process is paused. The property: `BOUND` ticks after the confirmation, the
entry runs no request with the key.

Setting a field of `Rules` to False removes one rule from the protocol. Each of these
weakened protocols has a counterexample.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "build_key_removal_protocol"]

# Ticks after the confirmation from which on the key must not work.
BOUND = 4
# Age of a proof in ticks up to which keys are accepted.
MAX_PROOF_AGE = 3
# Versions of the document with and without the key.
WITH_KEY, WITHOUT_KEY = 1, 2
# Stands for a time or version that there is not.
NONE = -1


class Rules(NamedTuple):
    """Rules that end the use of the key in time.

    Parameters
    ----------
    proof_expires : bool
        Keys are accepted only while the last proof is young.
    counts_from_question : bool
        A proof holds for the time of the question, not of the reply.
    replies_as_leader : bool
        A keeper whose lease has ended does not reply.
    compares_versions : bool
        A reply proves nothing if it names a newer version than the entry's.
    documents_prove_nothing : bool
        A document that a leader sends by itself is no proof.
    """

    proof_expires: bool = True
    counts_from_question: bool = True
    replies_as_leader: bool = True
    compares_versions: bool = True
    documents_prove_nothing: bool = True


class State(NamedTuple):
    """State of the keepers, the messages in transit and the entry.

    Parameters
    ----------
    versions : tuple of int
        Version that each keeper has applied.
    leader : int
    confirmed_age : int
        Ticks since the confirmation of version 2.
    asked_keeper, asked_age : int
        The keeper that the question in transit goes to, and ticks since it was sent.
    reply : int
        Version in the reply in transit to the question of `asked_age`.
    document : int
        Version of the document in transit.
    held : int
        Version that the entry has.
    proof_age : int
    has_run_late : bool
    """

    versions: tuple[int, int]
    leader: int
    confirmed_age: int
    asked_keeper: int
    asked_age: int
    reply: int
    document: int
    held: int
    proof_age: int
    has_run_late: bool


INITIAL = State(
    (WITH_KEY, WITH_KEY), 0, NONE, NONE, NONE, NONE, NONE, WITH_KEY, NONE, False
)


def build_key_removal_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="key_removal",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"removed_in_time": lambda d: not d["has_run_late"]},
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = [
        ("tick", _tick(state)),
        ("change", _change_leader(state)),
        ("send", state._replace(document=state.versions[state.leader])),
    ]
    if state.confirmed_age == NONE:
        steps.append(("confirm", _confirm(state)))
    if state.asked_age == NONE:
        steps.extend(
            (f"ask_{keeper}", state._replace(asked_keeper=keeper, asked_age=0))
            for keeper in (0, 1)
        )
    elif state.reply == NONE:
        steps.append(("drop", state._replace(asked_keeper=NONE, asked_age=NONE)))
        if state.asked_keeper == state.leader or not rules.replies_as_leader:
            reply = state.versions[state.asked_keeper]
            steps.append(("reply", state._replace(reply=reply)))
    else:
        steps.append(("receive_reply", _receive_reply(state, rules)))
    if state.document != NONE:
        steps.append(("receive_document", _receive_document(state, rules)))
    is_proved = 0 <= state.proof_age <= MAX_PROOF_AGE
    if state.held == WITH_KEY and (is_proved or not rules.proof_expires):
        is_late = state.confirmed_age >= BOUND
        has_run_late = state.has_run_late or is_late
        steps.append(("run", state._replace(has_run_late=has_run_late)))
    return steps


def _tick(state: State) -> State:
    confirmed_age, asked_age, proof_age = (
        age if age == NONE else min(BOUND, age + 1)
        for age in (state.confirmed_age, state.asked_age, state.proof_age)
    )
    return state._replace(
        confirmed_age=confirmed_age, asked_age=asked_age, proof_age=proof_age
    )


def _change_leader(state: State) -> State:
    """Let the other keeper lead, which has applied all that is confirmed."""
    leader = 1 - state.leader
    newest = max(state.versions)
    versions = (
        (newest, state.versions[1]) if leader == 0 else (state.versions[0], newest)
    )
    return state._replace(leader=leader, versions=versions)


def _confirm(state: State) -> State:
    first, second = state.versions
    versions = (WITHOUT_KEY, second) if state.leader == 0 else (first, WITHOUT_KEY)
    return state._replace(versions=versions, confirmed_age=0)


def _receive_reply(state: State, rules: Rules) -> State:
    is_proof = state.reply <= state.held or not rules.compares_versions
    asked_age = state.asked_age if rules.counts_from_question else 0
    proof_age = state.proof_age
    if is_proof:
        proof_age = asked_age if proof_age == NONE else min(proof_age, asked_age)
    return state._replace(
        asked_keeper=NONE, asked_age=NONE, reply=NONE, proof_age=proof_age
    )


def _receive_document(state: State, rules: Rules) -> State:
    proof_age = state.proof_age if rules.documents_prove_nothing else 0
    held = max(state.held, state.document)
    return state._replace(document=NONE, held=held, proof_age=proof_age)
