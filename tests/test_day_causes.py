"""Causes of lost worth, as a play's logs tell them."""

import unittest

from benchmarks.day_causes import cause_of, read_streams, recovered_s

KEY = 'key="desk|m1/a1"'


def line(at_s: float, event: str, request: str = "q1", more: str = "") -> str:
    """Return a line as a play prints it."""
    start = f"  {at_s:.4f} front-a-1/entry at=2026-01-01T00:00:00Z level=info"
    return f"{start} event={event} request={request} {more} program=cowslip-entry"


def answered(at_s: float, first_ms: int, pause_ms: int = 0, sent_ms: int = 1) -> str:
    """Return the line of an answer."""
    times = f"first_ms={first_ms} pause_ms={pause_ms} sent_ms={sent_ms}"
    limits = "target_ms=250.0 pause_target_ms=150.0"
    return line(at_s, "request_answered", more=f"{KEY} {times} {limits}")


class CauseTest(unittest.TestCase):
    """One stream's cause."""

    def cause(self, *lines: str) -> str:
        (found,) = read_streams(["built in 3 s", *lines])
        return cause_of(found)

    def test_causes(self):
        """Each end of a stream has the cause that its lines show."""
        sent = line(1.0, "request_sent", more=KEY)
        asked = line(1.0, "holder_found", more=KEY)
        refused = line(1.1, "request_refused", more='code=1203 reason="x y"')
        cases = {
            "in time": (sent, answered(1.2, 240, 150)),
            "late: pause": (sent, answered(1.2, 240, 151)),
            "late: first event": (sent, answered(1.2, 251)),
            "late: sent again": (sent, sent, answered(1.2, 251)),
            "late: holder": (asked, sent, answered(1.2, 800, sent_ms=700)),
            "late: before sending": (sent, answered(1.2, 800, sent_ms=700)),
            "refused: queue at every engine": (asked, refused),
            "left: at an engine": (sent, line(1.3, "caller_left")),
            "left: before an engine": (asked, line(1.3, "caller_left")),
            "no end: entry killed": (sent,),
        }
        for cause, lines in cases.items():
            with self.subTest(cause=cause):
                self.assertEqual(self.cause(*lines), cause)

    def test_plain_services(self):
        """Requests of plain services are no streams."""
        sent = line(1.0, "request_sent", more='key="service:desk"')
        self.assertEqual(read_streams([sent]), [])

    def test_recovered(self):
        """A day has recovered with the first window of nine in ten in time."""
        lines = []
        for n in range(12):
            request = f"q{n}"
            late_ms = 900 if n < 4 else 100
            lines.append(line(n, "request_sent", request, KEY))
            lines.append(answered(n + 0.1, late_ms).replace("q1", request, 1))
        streams = read_streams(lines)
        self.assertEqual(recovered_s(streams, 0.0, 2.0), 4.0)
        self.assertIsNone(recovered_s(streams, 0.0, 100.0))
