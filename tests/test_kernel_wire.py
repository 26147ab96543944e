"""Encoding and decoding of frames and messages."""

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

from .builders import agent_reports

PROPERTY_TEST = settings(derandomize=True, deadline=None, max_examples=150)


def _decode(frame: bytes):
    """Decode a frame in the same way as `Channel.receive`."""
    parsed_header = decode_frame_header(frame[: FRAME_HEADER.size])
    if isinstance(parsed_header, Err):
        return parsed_header
    n_bytes, checksum = parsed_header.unwrap()
    payload = frame[FRAME_HEADER.size :][:n_bytes]
    if len(payload) < n_bytes or not matches_checksum(payload, checksum):
        return Err(None)
    return decode_record(Envelope, payload).bind(decode_message)


class TestFrames(unittest.TestCase):
    """A frame is decoded to the message that was encoded, or not at all."""

    @PROPERTY_TEST
    @given(agent_reports())
    def test_round_trip(self, report):
        """The decoded message equals the encoded one."""
        self.assertEqual(_decode(encode_frame(report)), Success(report))

    @PROPERTY_TEST
    @given(agent_reports(), st.data())
    def test_bit_flip(self, report, data):
        """A frame with one flipped bit is not decoded to a message."""
        frame = bytearray(encode_frame(report))
        position = data.draw(st.integers(0, len(frame) - 1))
        frame[position] ^= 1 << data.draw(st.integers(0, 7))
        self.assertIsInstance(_decode(bytes(frame)), Err)

    @PROPERTY_TEST
    @given(agent_reports(), st.data())
    def test_truncated(self, report, data):
        """A frame that is truncated after its header is not decoded to a message."""
        frame = encode_frame(report)
        end = data.draw(st.integers(FRAME_HEADER.size, len(frame) - 1))
        self.assertIsInstance(_decode(frame[:end]), Err)

    @PROPERTY_TEST
    @given(st.binary(max_size=400), st.sampled_from([Envelope, RoutingUpdate]))
    def test_random_bytes(self, data, record):
        """Decoding random bytes returns a result and raises no exception."""
        decoded = decode_record(record, data)
        self.assertIsInstance(decoded, Err | Success)

    def test_bounds(self):
        """A header with a length over the limit or another version is refused."""
        large = FRAME_HEADER.pack(MAX_FRAME_BYTES + 1, WIRE_VERSION, 0)
        other = FRAME_HEADER.pack(8, WIRE_VERSION + 1, 0)
        for header, name in ((large, "FRAME_TOO_LARGE"), (other, "BAD_VERSION")):
            result = decode_frame_header(header)
            self.assertEqual(result.failure().code.name, name)

    def test_unknown_kind(self):
        """An envelope with an unknown kind of message is refused."""
        result = decode_message(Envelope(0, 0, "Nothing", b""))
        self.assertEqual(result.failure().code.name, "BAD_MESSAGE")

    def test_nested_records(self):
        """The items of a list of records keep their order and type."""
        view = ServerView(
            "s1", "i", "z", "127.0.0.1:1", "engine", "", False, ("m@1",), 1, 2, 3.5, 16
        )
        update = RoutingUpdate(True, (view, view._replace(server_id="s2")), ("s3",))
        decoded = _decode(encode_frame(update)).unwrap()
        self.assertEqual(decoded, update)
        self.assertIsInstance(decoded.servers[1], ServerView)
        self.assertNotIsInstance(decoded, AgentReport | Resident)
