"""Which connections are closed when the byte budget is full."""

import unittest
from unittest import mock

from cowslipwood.kernel.byte_budget import (
    ByteBudget,
    HeldBytes,
    compute_budget_bytes,
)
from cowslipwood.kernel.metrics import Metrics


class ByteBudgetTest(unittest.TestCase):
    """A budget of 1,000,000 bytes."""

    def setUp(self):
        self.metrics = Metrics("entry")
        self.budget = ByteBudget(1_000_000, self.metrics)
        self.closed: list[str] = []

    def hold(
        self, name: str, n_bytes: int, since_ms: float, is_client_awaited: bool = True
    ) -> HeldBytes:
        """Hold bytes for a connection."""
        held = HeldBytes(lambda: self.closed.append(name), since_ms)
        self.budget.update(held, n_bytes, is_client_awaited)
        return held

    def test_most_for_longest(self):
        """Guards against closing a new upload in place of one that has stalled."""
        self.hold("small", 1_000, 0.0)
        self.hold("stalled", 500_000, 1_000.0)
        self.hold("new", 900_000, 9_900.0)
        self.budget.make_room(10_000.0)
        self.assertEqual(self.closed, ["stalled"])
        self.assertEqual(self.budget.n_bytes, 901_000)
        count = self.metrics.value("connections_closed_total", reason="budget")
        self.assertEqual(count, 1)

    def test_waiting_for_server(self):
        """Guards against closing a request whose client has done its part."""
        self.hold("waiting", 1_400_000, 0.0, is_client_awaited=False)
        self.budget.make_room(10_000.0)
        self.assertEqual(self.closed, [])
        self.assertFalse(self.budget.is_exhausted)
        self.hold("waiting", 200_000, 0.0, is_client_awaited=False)
        self.assertTrue(self.budget.is_exhausted)

    def test_upload_in_progress(self):
        """Guards against closing an upload whose next piece is on its way."""
        self.hold("uploading", 1_200_000, 9_900.0)
        self.budget.make_room(10_000.0)
        self.assertEqual(self.closed, [])
        self.hold("unread", 400_000, 9_990.0)
        self.budget.make_room(10_000.0)
        self.assertEqual(self.closed, ["uploading"])

    def test_search_cost(self):
        """Guards against a search of all connections for each piece that arrives."""
        waiting = self.hold("waiting", 1_200_000, 0.0, is_client_awaited=False)
        uploading = self.hold("uploading", 100_000, 9_900.0)
        with mock.patch.object(
            HeldBytes, "compute_stalled_ms", return_value=100.0
        ) as compute:
            for n_pieces in range(1_000):
                self.budget.update(uploading, 100_000 + n_pieces, True)
                self.budget.make_room(10_000.0 + n_pieces / 100)
        self.assertLess(compute.call_count, 10)
        self.assertEqual(self.closed, [])
        # What has stalled later is found in time.
        self.budget.make_room(10_600.0)
        self.assertEqual(self.closed, ["uploading"])
        self.assertEqual(waiting.n_bytes, 1_200_000)

    def test_search_when_exhausted(self):
        """Guards against a pause between searches when nothing more may be held."""
        self.hold("waiting", 1_200_000, 0.0, is_client_awaited=False)
        self.hold("uploading", 100_000, 9_900.0)
        self.budget.make_room(10_000.0)
        self.assertEqual(self.closed, [])
        self.hold("new", 300_000, 9_990.0)
        self.budget.make_room(10_001.0)
        self.assertEqual(self.closed, ["uploading"])

    def test_progress(self):
        """Guards against clients that send a byte now and then to stay open."""
        held = self.hold("dripping", 500_000, 0.0)
        for second in range(10):
            held.record_moved(100, second * 1_000.0)
        self.assertEqual(held.compute_stalled_ms(10_000.0), 10_000.0)
        held.record_moved(20_000, 10_000.0)
        self.assertEqual(held.compute_stalled_ms(10_000.0), 0.0)

    def test_memory(self):
        """The budget, with copies and the process's own part, fits into the memory."""
        for memory_mb in (160, 200, 300, 4_000):
            budget_mb = compute_budget_bytes(memory_mb) / 1e6
            self.assertLess(60 + 4 * 1.5 * budget_mb, memory_mb + 1)
