"""Tests of the causes of lost value, as found in the logs of a simulated day."""

import unittest

from benchmarks.day_causes import find_cause, find_recovery_s, read_streams

KEY = 'key="desk|m1/a1"'


def format_line(
    at_s: float, event: str, request: str = "q1", extra_pairs: str = ""
) -> str:
    """Return a log line as a simulation prints it."""
    start = f"  {at_s:.4f} front-a-1/entry at=2026-01-01T00:00:00Z level=info"
    return (
        f"{start} event={event} request={request} {extra_pairs} program=cowslip-entry"
    )


def format_answered_line(
    at_s: float, first_ms: int, pause_ms: int = 0, sent_ms: int = 1
) -> str:
    """Return the log line of an answered request."""
    times = f"first_ms={first_ms} pause_ms={pause_ms} sent_ms={sent_ms}"
    limits = "target_ms=250.0 pause_target_ms=150.0"
    return format_line(at_s, "request_answered", extra_pairs=f"{KEY} {times} {limits}")


class CauseTest(unittest.TestCase):
    """The cause by which a stream lost value, and the time to recovery."""

    def read_cause(self, *lines: str) -> str:
        (record,) = read_streams(["built in 3 s", *lines])
        return find_cause(record)

    def test_causes(self):
        """Each cause is found from the log lines of one stream."""
        sent = format_line(1.0, "request_sent", extra_pairs=KEY)
        asked = format_line(1.0, "holder_found", extra_pairs=KEY)
        refused = format_line(
            1.1, "request_refused", extra_pairs='code=1203 reason="x y"'
        )
        cases = {
            "in time": (sent, format_answered_line(1.2, 240, 150)),
            "late: pause": (sent, format_answered_line(1.2, 240, 151)),
            "late: first event": (sent, format_answered_line(1.2, 251)),
            "late: sent again": (sent, sent, format_answered_line(1.2, 251)),
            "late: holder": (asked, sent, format_answered_line(1.2, 800, sent_ms=700)),
            "late: before sending": (sent, format_answered_line(1.2, 800, sent_ms=700)),
            "refused: queue at every engine": (asked, refused),
            "left: at an engine": (sent, format_line(1.3, "caller_left")),
            "left: before an engine": (asked, format_line(1.3, "caller_left")),
            "no end: entry killed": (sent,),
        }
        for cause, lines in cases.items():
            with self.subTest(cause=cause):
                self.assertEqual(self.read_cause(*lines), cause)

    def test_plain_services(self):
        """Requests of services without models do not count as streams."""
        sent = format_line(1.0, "request_sent", extra_pairs='key="service:desk"')
        self.assertEqual(read_streams([sent]), [])

    def test_recovery(self):
        """The first window with nine of ten streams in time ends the recovery."""
        lines = []
        for request_number in range(12):
            request = f"q{request_number}"
            late_ms = 900 if request_number < 4 else 100
            lines.append(format_line(request_number, "request_sent", request, KEY))
            lines.append(
                format_answered_line(request_number + 0.1, late_ms).replace(
                    "q1", request, 1
                )
            )
        streams = read_streams(lines)
        self.assertEqual(find_recovery_s(streams, 0.0, 2.0), 4.0)
        self.assertIsNone(find_recovery_s(streams, 0.0, 100.0))
