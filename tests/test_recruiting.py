"""Which keeper becomes a member, and in whose place."""

import unittest

from cowslipwood.keeper._recruiting import MAX_VOTERS, MemberChange, choose_change
from cowslipwood.kernel.messages import Announce
from cowslipwood.replication import Member

MEMBERS = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(3)]


class ChooseChangeTest(unittest.TestCase):
    """The next change of the membership."""

    def test_nobody_announced(self):
        """A silent member without a successor stays."""
        self.assertIsNone(choose_change(MEMBERS, [], {"k1.a": 60_000.0}))

    def test_lost_disk(self):
        """A keeper that came back empty at its address takes its own place at once."""
        announced = [Announce("k1.b", "10.0.0.1:1")]
        found = choose_change(MEMBERS, announced, {"k1.a": 100.0})
        self.assertEqual((found.old_id, found.new_id), ("k1.a", "k1.b"))

    def test_all_answer(self):
        """A newcomer at a new address joins those who all answer."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {member.replica_id: 90.0 for member in MEMBERS}
        found = choose_change(MEMBERS, announced, silent)
        self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    def test_learner_goes_on(self):
        """A keeper that was added and does not vote yet is taken up again."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", False)]
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k9.a": 9_000.0}
        self.assertIsNone(choose_change(members, announced, silent).old_id)

    def test_most_voters(self):
        """No keeper is added to as many voters as there may be."""
        members = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(MAX_VOTERS)]
        announced = [Announce("k90.a", "10.0.0.90:1")]
        self.assertIsNone(choose_change(members, announced, {}))
        found = choose_change(members, announced, {"k3.a": 9_000.0})
        self.assertEqual(found.old_id, "k3.a")

    def test_longest_silent(self):
        """A newcomer takes the place of the member silent for longest."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 3_000.0, "k2.a": 9_000.0}
        self.assertEqual(choose_change(MEMBERS, announced, silent).old_id, "k2.a")

    def test_member_already(self):
        """A newcomer that became a voter is not recruited again."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", True)]
        announced = [Announce("k9.a", "10.0.0.9:1")]
        self.assertIsNone(choose_change(members, announced, {"k1.a": 9_000.0}))
