"""Where an entry's view of the servers comes from."""

import unittest

from cowslipwood.entry.choosing._view import View
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.kernel.messages import FleetLoad, RoutingUpdate
from cowslipwood.listing import ListedModel, ListedServer, to_server_view

from .direct_builders import listed

NOW_MS = 100_000.0


def server(**changes) -> ListedServer:
    """Return the one server of these tests."""
    models = (ListedModel("m1"),)
    return listed("s1", "127.0.0.1:1", models)._replace(**changes)


def told(known: KnownServers, now_ms: float, *keys: str) -> None:
    """Let the leader tell of the server, by a list that it has just read."""
    view = to_server_view(server(), keys)
    known.apply_update(RoutingUpdate(True, (view,), ()), now_ms)
    known.apply_load(FleetLoad(0.0, ("s1",), (0,), (0,), (0,)), now_ms)


class KnownServersTest(unittest.TestCase):
    """The leader's word and the entry's own reading."""

    def setUp(self):
        self.view = View()
        self.known = KnownServers(self.view)

    def is_leaving(self) -> bool:
        """Return whether the view shows the server as leaving."""
        return self.view.backends["s1"].view.leaving

    def test_leader_goes_before_the_list(self):
        """While the leader's list is fresh, what it ordered counts."""
        told(self.known, NOW_MS, "desk|m1", "desk|m1/a1")
        self.known.apply_list([server(is_leaving=True)], NOW_MS + 500)
        self.assertFalse(self.is_leaving())
        self.assertEqual(len(self.view.candidates("desk|m1/a1")), 1)

    def test_own_reading_when_the_leader_is_silent(self):
        """A server that leaves is seen by the entry's own reading, without a leader."""
        told(self.known, NOW_MS, "desk|m1")
        later_ms = NOW_MS + 1_300
        self.assertTrue(self.known.needs_list_read(later_ms))
        self.known.apply_list([server(is_leaving=True)], later_ms)
        self.assertTrue(self.is_leaving())

    def test_gone_from_own_reading(self):
        """A server that the own reading lacks is dropped at once."""
        told(self.known, NOW_MS, "desk|m1")
        self.known.apply_list([], NOW_MS + 1_300)
        self.assertEqual(self.view.backends, {})

    def test_leader_back(self):
        """A leader that tells again is followed again."""
        told(self.known, NOW_MS, "desk|m1")
        self.known.apply_list([server()], NOW_MS + 1_300)
        self.known.forget_leader()
        told(self.known, NOW_MS + 1_400, "desk|m1", "desk|m1/a2")
        self.assertEqual(len(self.view.candidates("desk|m1/a2")), 1)

    def test_new_leader_without_a_list(self):
        """A new leader that has read no list yet empties nothing."""
        told(self.known, NOW_MS, "desk|m1")
        self.known.forget_leader()
        self.known.apply_update(RoutingUpdate(True, (), ()), NOW_MS + 100)
        self.assertEqual(len(self.view.candidates("desk|m1")), 1)

    def test_old_list_at_the_leader(self):
        """A leader whose own list is old is not gone by."""
        told(self.known, NOW_MS, "desk|m1")
        load = FleetLoad(5_000.0, ("s1",), (0,), (0,), (0,))
        self.known.apply_load(load, NOW_MS + 2_000)
        self.known.apply_list([server(is_leaving=True)], NOW_MS + 2_100)
        self.assertTrue(self.is_leaving())
