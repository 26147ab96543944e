"""Which announced keeper becomes a member, and which member it replaces."""

import unittest

from cowslipwood.keeper._membership import (
    MAX_VOTERS,
    MemberChange,
    choose_member_change,
)
from cowslipwood.kernel.messages import Announce
from cowslipwood.replication import Gone, Member, Place, Silent

MEMBERS = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(3)]


def choose_with_one_loss(
    members: list, announced: list, silent_ms: dict
) -> MemberChange | None:
    """Return the next change when one keeper may lose its disk at a time."""
    return choose_member_change(members, announced, silent_ms, 3)


class ChooseChangeTest(unittest.TestCase):
    """The next change of the members."""

    def test_nobody_announced(self):
        """A silent member stays while no keeper announces itself."""
        self.assertIsNone(choose_with_one_loss(MEMBERS, [], {"k1.a": 60_000.0}))

    def test_lost_disk(self):
        """A keeper that lost its disk replaces the member at its address at once."""
        announced = [Announce("k1.b", "10.0.0.1:1")]
        found = choose_with_one_loss(MEMBERS, announced, {"k1.a": 100.0})
        self.assertEqual((found.old_id, found.new_id), ("k1.a", "k1.b"))

    def test_initial(self):
        """A keeper that started with the system is added, even if one is silent."""
        announced = [Announce("k9.a", "10.0.0.9:1", True)]
        for silent in ({}, {"k1.a": 9_000.0}):
            found = choose_with_one_loss(MEMBERS, announced, silent)
            self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    def test_successor_waits(self):
        """A successor of a lost member waits until that member counts as lost.

        Added at once, it would make four voters, one of which is lost for good. The
        loss of one more would then stop the log.
        """
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 900.0}
        self.assertIsNone(choose_with_one_loss(MEMBERS, announced, silent))
        found = choose_with_one_loss(MEMBERS, announced, {"k1.a": 2_100.0})
        self.assertEqual(found.old_id, "k1.a")

    def test_too_few(self):
        """Any keeper is added while there are too few voters for the planned losses."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        found = choose_member_change(MEMBERS, announced, {}, 5)
        self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    def test_learner_goes_on(self):
        """The addition of a member that does not vote yet is continued."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", False)]
        announced = [Announce("k9.a", "10.0.0.9:1", True)]
        silent = {"k9.a": 9_000.0}
        self.assertIsNone(choose_with_one_loss(members, announced, silent).old_id)

    def test_most_voters(self):
        """No keeper is added when there are `MAX_VOTERS` voters."""
        members = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(MAX_VOTERS)]
        announced = [Announce("k90.a", "10.0.0.90:1", True)]
        self.assertIsNone(choose_with_one_loss(members, announced, {}))
        found = choose_with_one_loss(members, announced, {"k3.a": 9_000.0})
        self.assertEqual(found.old_id, "k3.a")

    # Guards against keepers that join together and become too many voters.
    def test_most_learners(self):
        """Learners that are to vote count as voters do, for the most and the needed."""
        for n_voters, n_most in ((MAX_VOTERS - 1, MAX_VOTERS), (4, 5)):
            with self.subTest(n_voters=n_voters):
                members = [
                    Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(n_voters)
                ]
                learner = Member("k50.a", "10.0.0.50:1", False, Place.ADDED)
                announced = [Announce("k90.a", "10.0.0.90:1", n_most == MAX_VOTERS)]
                found = choose_member_change(members, announced, {}, n_most)
                self.assertEqual(found, MemberChange(None, "k90.a", "10.0.0.90:1"))
                members.append(learner)
                found = choose_member_change(members, announced, {}, n_most)
                self.assertIsNone(found)

    def test_longest_silent(self):
        """A new keeper replaces the member that has been silent for longest."""
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 3_000.0, "k2.a": 9_000.0}
        self.assertEqual(
            choose_with_one_loss(MEMBERS, announced, silent).old_id, "k2.a"
        )

    def test_member_already(self):
        """A keeper that is a voter already replaces no other member."""
        members = [*MEMBERS, Member("k9.a", "10.0.0.9:1", True)]
        announced = [Announce("k9.a", "10.0.0.9:1")]
        self.assertIsNone(choose_with_one_loss(members, announced, {"k1.a": 9_000.0}))

    # Guards against a learner that joins slowly and keeps others from joining.
    def test_learner_that_catches_up(self):
        """Changes of other keepers go before those of a learner that has to wait."""
        members = [
            *MEMBERS,
            Member("k8.a", "10.0.0.8:1", False, Place.VACATED),
            Member("k9.a", "10.0.0.9:1", False, Place.VACATED),
        ]
        announced = [Announce(f"k{i}.a", f"10.0.0.{i}:1") for i in (8, 9)]
        found = choose_member_change(members, announced, {}, 5, ["k9.a"])
        self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))
        announced[1] = Announce("k1.b", "10.0.0.1:1")
        found = choose_member_change(members, announced, {}, 5)
        self.assertEqual(found.departure, Gone("k1.a"))

    # Guards against a change that the next leader leaves half-done.
    def test_place_of_a_removed_voter(self):
        """A learner for which a voter was removed votes, whoever is silent."""
        places = [Member(f"k{i}.a", f"10.0.0.{i}:1", True) for i in range(6)]
        learner = Member("k9.a", "10.0.0.9:1", False, Place.VACATED)
        announced = [Announce("k9.a", "10.0.0.9:1")]
        found = choose_member_change([*places, learner], announced, {"k1.a": 9e3}, 5)
        self.assertEqual(found, MemberChange(None, "k9.a", "10.0.0.9:1"))

    # Guards against a voter that is gone and stays, as its successor is taken for that
    # of a learner.
    def test_silent_learners(self):
        """A newcomer replaces a lost voter, then a lost learner that has a place."""
        waiting = Member("k7.a", "10.0.0.7:1", False)
        placed = Member("k8.a", "10.0.0.8:1", False, Place.VACATED)
        announced = [Announce("k9.a", "10.0.0.9:1")]
        silent = {"k1.a": 3_000.0, "k7.a": 9_000.0, "k8.a": 9_000.0}
        members = [*MEMBERS, waiting, placed]
        found = choose_with_one_loss(members, announced, silent)
        self.assertEqual(found.departure, Silent("k1.a"))
        found = choose_with_one_loss(members, announced, {**silent, "k1.a": 0.0})
        self.assertEqual(found.departure, Silent("k8.a"))
        found = choose_with_one_loss([*MEMBERS, waiting], announced, {"k7.a": 9e3})
        self.assertIsNone(found)

    # Guards against an additional voter while the place of a removed one is kept.
    def test_no_voter_beyond_the_places(self):
        """A newcomer is not added while a learner is to fill the last place."""
        placed = Member("k8.a", "10.0.0.8:1", False, Place.VACATED)
        members = [*MEMBERS[:2], placed]
        announced = [Announce("k9.a", "10.0.0.9:1")]
        self.assertIsNone(choose_with_one_loss(members, announced, {}))
