"""Which keeper becomes a member, and in whose place."""

import unittest

from cowslipwood.keeper._membership import (
    MAX_VOTERS,
    MemberChange,
    choose_member_change,
)
from cowslipwood.kernel.messages import Announce
from cowslipwood.replication import Member

MEMBERS = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(3)]


def choose(members: list, announced: list, silent_ms: dict) -> MemberChange | None:
    """Return the next change of members of whom one may be lost."""
    return choose_member_change(members, announced, silent_ms, 3)


class ChooseChangeTest(unittest.TestCase):
    """The next change of the membership."""

    def test_nobody_announced(self):
        """A silent member without a successor stays."""
        self.assertIsNone(choose(MEMBERS, [], {"k1.a": 60_000.0}))

    def test_lost_disk(self):
        """A keeper that came back empty at its address takes its own place at once."""
        announced = [Announce("k1.b", "10.0.0.1:1")]
        found = choose(MEMBERS, announced, {"k1.a": 100.0})
        self.assertEqual((found.old_id, found.new_id), ("k1.a", "k1.b"))

    def test_initial(self):
        """A keeper that started with the system joins, also while one is silent."""
        announced = [Announce("k9.a", "10.0.0.9:1", True)]
        for silent in ({}, {"k1.a": 9_000.0}):
            found = choose(MEMBERS, announced, silent)
            self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    def test_successor_waits(self):
        """One that comes in a lost member's place waits until that is silent.

        Added at once it would leave four voters of whom one is gone for good, and
        the loss of one more would stop them.
        """
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 900.0}
        self.assertIsNone(choose(MEMBERS, announced, silent))
        found = choose(MEMBERS, announced, {"k1.a": 2_100.0})
        self.assertEqual(found.old_id, "k1.a")

    def test_too_few(self):
        """With fewer voters than the losses to bear need, any keeper is added."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        found = choose_member_change(MEMBERS, announced, {}, 5)
        self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    def test_learner_goes_on(self):
        """A keeper that was added and does not vote yet is taken up again."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", False)]
        announced = [Announce("k9.a", "10.0.0.9:1", True)]
        silent = {"k9.a": 9_000.0}
        self.assertIsNone(choose(members, announced, silent).old_id)

    def test_most_voters(self):
        """No keeper is added to as many voters as there may be."""
        members = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(MAX_VOTERS)]
        announced = [Announce("k90.a", "10.0.0.90:1", True)]
        self.assertIsNone(choose(members, announced, {}))
        found = choose(members, announced, {"k3.a": 9_000.0})
        self.assertEqual(found.old_id, "k3.a")

    def test_longest_silent(self):
        """A newcomer takes the place of the member silent for longest."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 3_000.0, "k2.a": 9_000.0}
        self.assertEqual(choose(MEMBERS, announced, silent).old_id, "k2.a")

    def test_member_already(self):
        """A newcomer that became a voter is not recruited again."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", True)]
        announced = [Announce("k9.a", "10.0.0.9:1")]
        self.assertIsNone(choose(members, announced, {"k1.a": 9_000.0}))
