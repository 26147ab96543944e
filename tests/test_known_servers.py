"""Tests by which source an entry updates its view of the servers."""

import unittest

from cowslipwood.entry.choosing._view import FleetView
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.kernel.messages import FleetLoad, RoutingUpdate
from cowslipwood.listing import ListedModel, ListedServer, to_server_view

from .direct_builders import build_listed_server

NOW_MS = 100_000.0


def build_server(**changes) -> ListedServer:
    """Return the server that all tests of this module use."""
    models = (ListedModel("m1"),)
    return build_listed_server("s1", "127.0.0.1:1", models)._replace(**changes)


def apply_leader_update(known_servers: KnownServers, now_ms: float, *keys: str) -> None:
    """Apply a leader's update of the server, from a list that it has just read."""
    view = to_server_view(build_server(), keys)
    known_servers.apply_update(RoutingUpdate(True, (view,), ()), now_ms)
    known_servers.apply_load(FleetLoad(0.0, ("s1",), (0,), (0,), (0,)), now_ms)


class KnownServersTest(unittest.TestCase):
    """The leader's updates and the server list that the entry reads itself."""

    def setUp(self):
        self.view = FleetView()
        self.known_servers = KnownServers(self.view)

    def is_leaving(self) -> bool:
        """Return whether the view shows the server as leaving."""
        return self.view.backends["s1"].view.leaving

    def test_leader_overrides_list(self):
        """While the leader's list is recent, the leader's updates are used."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1", "desk|m1/a1")
        self.known_servers.apply_list([build_server(is_leaving=True)], NOW_MS + 500)
        self.assertFalse(self.is_leaving())
        self.assertEqual(len(self.view.candidates("desk|m1/a1")), 1)

    def test_list_read_while_leader_silent(self):
        """Without a leader the entry sees in the list that a server is leaving."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1")
        later_ms = NOW_MS + 1_300
        self.assertTrue(self.known_servers.needs_list_read(later_ms))
        self.known_servers.apply_list([build_server(is_leaving=True)], later_ms)
        self.assertTrue(self.is_leaving())

    # A part of a stream of an engine that got its first model passed for the whole.
    def test_engine_without_models(self):
        """A server of a service with engines is one before the list shows a model."""
        server = build_server(models=())
        for services, kind in (((), "service"), (("desk",), "engine")):
            self.known_servers.apply_list([server], NOW_MS, services)
            self.assertEqual(self.view.backends["s1"].view.kind, kind)
        view = to_server_view(server, ("desk|m1",))
        self.assertEqual(view.kind, "engine")

    def test_server_missing_in_list(self):
        """A server that the list read by the entry lacks is dropped at once."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1")
        self.known_servers.apply_list([], NOW_MS + 1_300)
        self.assertEqual(self.view.backends, {})

    def test_leader_returns(self):
        """Updates of a leader are used again after the leader was lost."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1")
        self.known_servers.apply_list([build_server()], NOW_MS + 1_300)
        self.known_servers.forget_leader()
        apply_leader_update(self.known_servers, NOW_MS + 1_400, "desk|m1", "desk|m1/a2")
        self.assertEqual(len(self.view.candidates("desk|m1/a2")), 1)

    def test_new_leader_without_a_list(self):
        """A new leader that has not read a list yet does not remove servers."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1")
        self.known_servers.forget_leader()
        self.known_servers.apply_update(RoutingUpdate(True, (), ()), NOW_MS + 100)
        self.assertEqual(len(self.view.candidates("desk|m1")), 1)

    def test_leader_with_old_list(self):
        """Updates of a leader whose server list is old are not used."""
        apply_leader_update(self.known_servers, NOW_MS, "desk|m1")
        load = FleetLoad(5_000.0, ("s1",), (0,), (0,), (0,))
        self.known_servers.apply_load(load, NOW_MS + 2_000)
        self.known_servers.apply_list([build_server(is_leaving=True)], NOW_MS + 2_100)
        self.assertTrue(self.is_leaving())
