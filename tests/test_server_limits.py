"""Tests that servers get no more requests than the limits that they name."""

import random
import unittest

import anyio

from .limit_builders import (
    CONTACT_MS,
    LimitingServer,
    build_entries,
    count_allowed,
    count_most,
    run_servers,
    send_requests,
)


class LimitedServerTest(unittest.TestCase):
    """Entries that send requests to a server that names a limit."""

    # Each entry by itself kept sending, so a server that named 1 a second got many.
    def test_entries_together_keep_to_a_named_limit(self):
        """Beside two other servers, one gets no more than its limit allows."""
        for n_entries, limit_per_s in ((8, 1.0), (8, 6.0), (24, 0.2)):
            with self.subTest(n_entries=n_entries, limit_per_s=limit_per_s):
                limited = LimitingServer(limit_per_s)
                anyio.run(self._run, limited, n_entries)
                counted_from_ms = limited.arrivals_ms[0] + CONTACT_MS
                arrivals_ms = [ms for ms in limited.arrivals_ms if ms > counted_from_ms]
                n_most = count_most(arrivals_ms)
                self.assertLessEqual(n_most, count_allowed(limit_per_s))

    async def _run(self, limited: LimitingServer, n_entries: int) -> None:
        servers = [limited, LimitingServer(), LimitingServer()]
        async with run_servers(servers) as listed:
            states = build_entries(n_entries, listed)
            results = await send_requests(states, 40.0, 8.0, random.Random(3))
        self.assertEqual([fault for fault in results if fault is not None], [])
