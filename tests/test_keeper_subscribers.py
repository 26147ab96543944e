"""Updates about backend servers that a keeper sends to its subscribers."""

import unittest

import anyio

from cowslipwood.catalogue import empty_catalogue
from cowslipwood.entry.choosing._view import FleetView
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.keeper._evidence import EvidenceRelay
from cowslipwood.keeper._feed import MAX_KEPT_REMOVALS, RoutingFeed, SentRevisions
from cowslipwood.keeper._server_limits import ServerLimitTable
from cowslipwood.keeper._subscribers import (
    HEARTBEAT_MS,
    LOAD_INTERVAL_MS,
    DocumentFrame,
    PublishedState,
    Subscriber,
)
from cowslipwood.kernel.messages import Ack, FleetLoad, RoutingUpdate
from cowslipwood.kernel.wire import (
    FRAME_HEADER,
    Envelope,
    decode_message,
    decode_record,
)

from .direct_builders import build_listed_server
from .entry_builders import make_engine_view


class _Channel:
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []

    async def send_frame(self, frame):
        envelope = decode_record(Envelope, frame[FRAME_HEADER.size :]).unwrap()
        self.sent.append(decode_message(envelope).unwrap())


class TestRouting(unittest.TestCase):
    """Changes are sent at once, except changes of load, which wait."""

    def _send_steps(self, *steps) -> list[list[str]]:
        """Return the ids of the servers sent at each step, a pair of views and time."""
        channel = _Channel()
        subscriber = Subscriber(channel, "entry", "e1")
        feed = RoutingFeed()

        async def run():
            sent = []
            for views, now_ms in steps:
                channel.sent.clear()
                feed.update_servers({view.server_id: view for view in views})
                await subscriber.send_servers(feed, now_ms)
                updates = [u for u in channel.sent if isinstance(u, RoutingUpdate)]
                sent.append([v.server_id for u in updates for v in u.servers])
            return sent

        return anyio.run(run)

    def test_load_waits_and_readiness_does_not(self):
        """A change of load waits for its interval; any other change does not."""
        idle = [make_engine_view("s1", "m1"), make_engine_view("s2", "m1")]
        busy = [view._replace(n_in_flight=9) for view in idle]
        left = [busy[0]._replace(leaving=True), busy[1]]
        sent = self._send_steps(
            (idle, 0.0),
            (busy, 50.0),
            (left, 100.0),
            (left, LOAD_INTERVAL_MS - 1.0),
            (left, float(LOAD_INTERVAL_MS)),
            (left, LOAD_INTERVAL_MS + 50.0),
        )
        self.assertEqual(sent, [["s1", "s2"], [], ["s1"], [], ["s2"], []])

    def test_removed_server_is_told_again(self):
        """A server that was removed and comes back is sent again."""
        view = make_engine_view("s1", "m1")
        sent = self._send_steps(([view], 0.0), ([], 50.0), ([view], 100.0))
        self.assertEqual(sent, [["s1"], [], ["s1"]])

    def test_servers_before_their_load(self):
        """A new leader that reads its list late makes no entry drop its servers.

        If the load was sent before the servers, an entry would take the empty set
        of servers for current.
        """
        channel = _Channel()
        subscriber = Subscriber(channel, "entry", "e1")
        known = KnownServers(FleetView())
        view = make_engine_view("s1", "m1")
        known.apply_list([build_listed_server("s1", "127.0.0.1:1")], 0.0)
        seen = []

        async def run():
            feed = RoutingFeed()
            feed.update_servers({})
            await subscriber.send_servers(feed, 10.0)
            feed.update_servers({"s1": view})
            feed.update_fleet_load(FleetLoad(5.0, ("s1",), (0,), (0,), (0,)), 60.0)
            await subscriber.send_servers(feed, 60.0)

        anyio.run(run)
        for number, message in enumerate(channel.sent):
            now_ms = 20.0 + number
            if isinstance(message, RoutingUpdate):
                known.apply_update(message, now_ms)
            elif isinstance(message, FleetLoad):
                known.apply_load(message, now_ms)
            seen.append(set(known._view.backends))
        self.assertEqual(seen, [{"s1"}] * len(channel.sent))


class TestFeed(unittest.TestCase):
    """Updates that all entries share, such as seventy entries of one system."""

    def test_encoded_once(self):
        """Subscribers at the same revisions share the bytes of an update."""
        feed = RoutingFeed()
        feed.update_servers({"s1": make_engine_view("s1", "m1")})
        frames = [feed.get_routing_frame(SentRevisions(), True) for _ in range(70)]
        self.assertEqual(len({id(frame) for frame, _ in frames}), 1)

    def test_missed_removals(self):
        """A subscriber that missed more removals than are kept gets a full update."""
        feed = RoutingFeed()
        feed.update_servers({"s0": make_engine_view("s0", "m1")})
        _, sent = feed.get_routing_frame(SentRevisions(), True)
        for n in range(MAX_KEPT_REMOVALS + 2):
            feed.update_servers({f"s{n}": make_engine_view(f"s{n}", "m1")})
        update = feed.make_routing_update(sent, True)
        self.assertTrue(update.full)
        self.assertEqual([v.server_id for v in update.servers], [f"s{n}"])

    def test_new_leadership(self):
        """The load of an earlier leadership is not sent."""
        feed = RoutingFeed()
        feed.update_fleet_load(FleetLoad(5.0, ("s1",), (0,), (0,), (0,)), 0.0)
        feed.clear_fleet_load()
        self.assertIsNone(feed.fleet_load)
        self.assertTrue(feed.is_fleet_load_due(0.0))

    def test_heartbeat(self):
        """A gateway without changes gets one message in each heartbeat interval."""
        channel = _Channel()
        subscriber = Subscriber(channel, "gateway", "g1")
        state = PublishedState(
            empty_catalogue(),
            0,
            DocumentFrame().encode(0, b"", False),
            (),
            RoutingFeed(),
            EvidenceRelay(),
            ServerLimitTable(),
        )

        async def run():
            for now_ms in range(0, 10 * HEARTBEAT_MS, 10):
                await subscriber.send_updates(state, float(now_ms))

        anyio.run(run)
        self.assertEqual([type(each) for each in channel.sent], [Ack] * 10)
