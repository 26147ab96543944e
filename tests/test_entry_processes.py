"""A caller's disconnect and the stop of an entry, in separate processes."""

import http.client
import json
import signal
import unittest
from concurrent.futures import ThreadPoolExecutor

from cowslipwood.entry.sending._dispatcher import parse_load_report
from cowslipwood.standins.engine import make_expected_text

from .builders import model_value
from .processes import DEFAULT_TIMEOUT_S, Cluster, call, free_port, wait_for

PROMPT = "bread and soup for nine"
N_TOKENS = 150
N_STREAMS = 6


class TestEntryProcess(unittest.TestCase):
    """A disconnect during a stream, and SIGTERM to an entry with open streams."""

    @classmethod
    def setUpClass(cls):
        """Start a keeper, an engine with its agent, and an entry."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()
        engine_port, agent_port, cls.port = free_port(), free_port(), free_port()
        cls.engine_port, cls.agent_port = engine_port, agent_port
        keepers = ("--keepers", cls.cluster.keepers)
        cls.cluster.start(
            "engine",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{engine_port}",
            "--between-tokens-ms=10",
        )
        cls.cluster.start(
            "agent",
            "agent",
            "--server-id=s1",
            f"--backend-url=http://127.0.0.1:{engine_port}",
            f"--listen=127.0.0.1:{agent_port}",
            *keepers,
        )
        cls.cluster.start("entry", "entry", f"--listen=127.0.0.1:{cls.port}", *keepers)
        cls.cluster.put(model_value("m1"))
        wait_for(cls._can_complete, "a completion")

    @classmethod
    def _can_complete(cls) -> bool:
        request = {"model": "m1", "prompt": "p", "max_tokens": 1}
        return call(cls.port, "POST", "/v1/completions", request)[0] == 200

    def test_agent_sends_readable_load_reports(self):
        """The entry can parse the load report that comes with an agent's answers."""
        _, headers, _ = call(self.agent_port, "POST", "/v1/completions", {})
        load_report = parse_load_report(headers["x-cowslip-report"])
        self.assertEqual(load_report.knee_in_flight, 16)

    def test_disconnect_cancels_at_the_engine(self):
        """When a caller disconnects, the engine stops generating its answer."""
        n_cancelled = self._engine_state()["n_cancelled"]
        stream = _open_stream(self.port, max_tokens=30_000)
        stream.read1(1)
        stream.close()
        wait_for(
            lambda: self._engine_state()["n_cancelled"] > n_cancelled,
            "the engine to cancel",
        )

    def _engine_state(self) -> dict:
        return json.loads(call(self.engine_port, "GET", "/standin/state")[2])

    def test_stop_finishes_open_streams(self):
        """On SIGTERM open streams complete, new requests are refused, the exit is 0."""
        entry = self.cluster.processes["entry"]
        with ThreadPoolExecutor(N_STREAMS) as pool:
            streams = [_open_stream(self.port) for _ in range(N_STREAMS)]
            entry.send_signal(signal.SIGTERM)
            wait_for(self._is_leaving, "readyz to be 503")
            request = {"model": "m1", "prompt": "p"}
            status, headers, body = call(self.port, "POST", "/v1/completions", request)
            stream_texts = list(pool.map(_read_stream, streams))
        self.assertEqual((status, headers["x-cowslip-outcome"]), (503, "not-run"))
        self.assertEqual(json.loads(body)["error"]["name"], "ENTRY_LEAVING")
        self.assertEqual(
            stream_texts, [make_expected_text(PROMPT, N_TOKENS)] * N_STREAMS
        )
        self.assertEqual(entry.wait(DEFAULT_TIMEOUT_S), 0)

    def _is_leaving(self) -> bool:
        return call(self.port, "GET", "/readyz")[0] == 503


def _open_stream(port: int, max_tokens: int = N_TOKENS) -> http.client.HTTPResponse:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=DEFAULT_TIMEOUT_S
    )
    request = {
        "model": "m1",
        "prompt": PROMPT,
        "max_tokens": max_tokens,
        "stream": True,
    }
    headers = {"connection": "close"}
    connection.request("POST", "/v1/completions", json.dumps(request), headers)
    return connection.getresponse()


def _read_stream(response: http.client.HTTPResponse) -> str:
    """Read a stream to its end and return its text."""
    *events, last = response.read().decode().strip().split("\n\n")
    if last != "data: [DONE]":
        raise AssertionError(f"the stream ended with {last!r}")
    values = [json.loads(event.removeprefix("data: ")) for event in events]
    return "".join(value["choices"][0]["text"] for value in values)
