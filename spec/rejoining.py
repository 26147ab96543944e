"""Model of how relays and keepers without a log find the keepers after seeds change.

Three keepers share a log; the settings name three seeds, which become relays at some
step. Relays know the keepers only from what keepers tell them, and forget it when they
restart. Keepers lose their disks one at a time: the next is lost only after the one
before could be replaced. While a seed is down it answers nobody.

The property is what the system reaches when nothing more fails: `settle` applies all
steps that need no fault. Setting a field of `Rules` to False removes one rule.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "build_rejoining_protocol"]

N_KEEPERS = 3
QUORUM = 2


class Rules(NamedTuple):
    """Rules that lead to the keepers.

    Parameters
    ----------
    keepers_follow_seeds : bool
        A running keeper tells the relays that the newest settings name.
    leader_asks_members : bool
        The leader asks a member that does not answer for its identity.
    """

    keepers_follow_seeds: bool = True
    leader_asks_members: bool = True


class State(NamedTuple):
    """What each process knows.

    Parameters
    ----------
    seeds_are_relays : bool
        Whether the settings name relays.
    knows_new_seeds : tuple of bool
        Whether each keeper's process uses these settings.
    relays_know_keepers : bool
    seeds_are_up : bool
    is_voting : tuple of bool
        Whether each keeper has the log. One that has not has lost its disk.
    """

    seeds_are_relays: bool
    knows_new_seeds: tuple[bool, ...]
    relays_know_keepers: bool
    seeds_are_up: bool
    is_voting: tuple[bool, ...]


INITIAL = State(False, (False,) * N_KEEPERS, True, True, (True,) * N_KEEPERS)


def build_rejoining_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="rejoining",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"all_recover": lambda d: _is_recovered(State(**d), rules)},
    )


def settle(state: State, rules: Rules) -> State:
    """Return the state after all steps that need no fault."""
    if rules.keepers_follow_seeds:
        state = state._replace(knows_new_seeds=(state.seeds_are_relays,) * N_KEEPERS)
    is_told = any(
        voting and knows
        for voting, knows in zip(state.is_voting, state.knows_new_seeds, strict=True)
    )
    if state.seeds_are_relays and state.seeds_are_up and is_told:
        state = state._replace(relays_know_keepers=True)
    finds_leader = state.seeds_are_up and (
        not state.seeds_are_relays or state.relays_know_keepers
    )
    has_leader = sum(state.is_voting) >= QUORUM
    if has_leader and (finds_leader or rules.leader_asks_members):
        state = state._replace(is_voting=(True,) * N_KEEPERS)
    return state


def _is_recovered(state: State, rules: Rules) -> bool:
    settled = settle(state, rules)
    leads_to_keepers = settled.relays_know_keepers or not settled.seeds_are_up
    return all(settled.is_voting) and leads_to_keepers


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    settled = settle(state, rules)
    steps = [
        ("settle", settled),
        ("change_seeds", state._replace(seeds_are_relays=True)),
        ("restart_relays", state._replace(relays_know_keepers=False)),
        ("stop_seeds", state._replace(seeds_are_up=False)),
        ("start_seeds", state._replace(seeds_are_up=True)),
    ]
    if not state.seeds_are_relays:
        # Relays that are no seeds ask the seeds, which are keepers.
        steps = [step for step in steps if step[0] != "restart_relays"]
    if all(state.is_voting):
        steps += [
            (f"lose_disk_{number}", _lose_disk(state, number))
            for number in range(N_KEEPERS)
        ]
    return [(label, next_state) for label, next_state in steps if next_state != state]


def _lose_disk(state: State, number: int) -> State:
    """Return the state after a keeper lost its disk and started with new settings."""
    is_voting = tuple(
        voting and index != number for index, voting in enumerate(state.is_voting)
    )
    knows = tuple(
        state.seeds_are_relays if index == number else known
        for index, known in enumerate(state.knows_new_seeds)
    )
    return state._replace(is_voting=is_voting, knows_new_seeds=knows)
