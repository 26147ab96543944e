"""What entries are told of backend servers."""

import unittest

import anyio

from cowslipwood.keeper._subscribers import LOAD_INTERVAL_MS, Subscriber

from .entry_builders import engine_view


class _Channel:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    async def send(self, value):
        self.sent.append(value)


class TestRouting(unittest.TestCase):
    """News is sent at once, load now and then."""

    def _told(self, *steps) -> list[list[str]]:
        """Return which servers each step tells; steps are views and a time."""
        channel = _Channel()
        subscriber = Subscriber(channel, "entry", "e1")

        async def run():
            told = []
            for views, now_ms in steps:
                channel.sent.clear()
                by_id = {view.server_id: view for view in views}
                await subscriber.tell_routing(by_id, ["e1"], now_ms)
                told.append([v.server_id for u in channel.sent for v in u.servers])
            return told

        return anyio.run(run)

    def test_load_waits_and_readiness_does_not(self):
        """A change of load waits for its interval; another change does not."""
        idle = [engine_view("s1", "m1"), engine_view("s2", "m1")]
        busy = [view._replace(n_in_flight=9) for view in idle]
        left = [busy[0]._replace(leaving=True), busy[1]]
        told = self._told(
            (idle, 0.0),
            (busy, 50.0),
            (left, 100.0),
            (left, LOAD_INTERVAL_MS - 1.0),
            (left, float(LOAD_INTERVAL_MS)),
            (left, LOAD_INTERVAL_MS + 50.0),
        )
        self.assertEqual(told, [["s1", "s2"], [], ["s1"], [], ["s2"], []])

    def test_removed_server_is_told_again(self):
        """A server that left the list and comes back is told anew."""
        view = engine_view("s1", "m1")
        told = self._told(([view], 0.0), ([], 50.0), ([view], 100.0))
        self.assertEqual(told, [["s1"], [], ["s1"]])
