"""Frames and messages between processes."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.kernel.messages import (
    AgentReport,
    Resident,
    RoutingUpdate,
    ServerView,
)
from cowslipwood.kernel.wire import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    WIRE_VERSION,
    Envelope,
    decode_frame_header,
    decode_message,
    decode_record,
    encode_frame,
    matches_checksum,
)

from .builders import reports

CASES = settings(derandomize=True, deadline=None, max_examples=150)


def _decode(frame: bytes):
    """Decode a frame as a channel does."""
    sized = decode_frame_header(frame[: FRAME_HEADER.size])
    if isinstance(sized, Err):
        return sized
    n_bytes, checksum = sized.unwrap()
    payload = frame[FRAME_HEADER.size :][:n_bytes]
    if len(payload) < n_bytes or not matches_checksum(payload, checksum):
        return Err(None)
    return decode_record(Envelope, payload).bind(decode_message)


class TestFrames(unittest.TestCase):
    """A frame yields the message that was sent, or none."""

    @CASES
    @given(reports())
    def test_round_trip(self, report):
        """What is decoded equals what was encoded."""
        self.assertEqual(_decode(encode_frame(report)), Success(report))

    @CASES
    @given(reports(), st.data())
    def test_bit_flip(self, report, data):
        """A frame with one flipped bit never yields a message."""
        frame = bytearray(encode_frame(report))
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] ^= 1 << data.draw(st.integers(0, 7))
        self.assertIsInstance(_decode(bytes(frame)), Err)

    @CASES
    @given(reports(), st.data())
    def test_truncated(self, report, data):
        """A frame cut short after its header never yields a message."""
        frame = encode_frame(report)
        end = data.draw(st.integers(FRAME_HEADER.size, len(frame) - 1))
        self.assertIsInstance(_decode(frame[:end]), Err)

    @CASES
    @given(st.binary(max_size=400), st.sampled_from([Envelope, RoutingUpdate]))
    def test_rubbish(self, data, record):
        """Decoding rubbish gives a result and raises nothing."""
        decoded = decode_record(record, data)
        self.assertIsInstance(decoded, Err | Success)

    def test_bounds(self):
        """A length over the bound and another version are refused."""
        large = FRAME_HEADER.pack(MAX_FRAME_BYTES + 1, WIRE_VERSION, 0)
        other = FRAME_HEADER.pack(8, WIRE_VERSION + 1, 0)
        for header, name in ((large, "FRAME_TOO_LARGE"), (other, "BAD_VERSION")):
            refused = decode_frame_header(header)
            self.assertEqual(refused.failure().code.name, name)

    def test_unknown_kind(self):
        """An envelope with an unknown kind is refused."""
        refused = decode_message(Envelope(0, 0, "Nothing", b""))
        self.assertEqual(refused.failure().code.name, "BAD_MESSAGE")

    def test_nested_records(self):
        """Lists of records keep their order and types."""
        view = ServerView(
            "s1", "i", "z", "127.0.0.1:1", "engine", "", False, ("m@1",), 1, 2, 3.5, 16
        )
        update = RoutingUpdate(True, (view, view._replace(server_id="s2")), ("s3",))
        decoded = _decode(encode_frame(update)).unwrap()
        self.assertEqual(decoded, update)
        self.assertIsInstance(decoded.servers[1], ServerView)
        self.assertNotIsInstance(decoded, AgentReport | Resident)
