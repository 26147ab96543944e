"""A caller's hang-up and a planned stop of an entry, in separate processes."""

import http.client
import json
import signal
import unittest
from concurrent.futures import ThreadPoolExecutor

from cowslipwood.entry.sending._dispatcher import parse_load_report
from cowslipwood.standins.engine import expected_text

from .builders import model_value
from .processes import WAIT_S, Cluster, call, free_port, wait_for

PROMPT = "bread and soup for nine"
N_TOKENS = 150
N_STREAMS = 6


class TestEntry(unittest.TestCase):
    """Hang-up, and SIGTERM to an entry under open streams."""

    @classmethod
    def setUpClass(cls):
        """Start a keeper, an engine with its agent, and an entry."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()
        engine, agent, cls.port = free_port(), free_port(), free_port()
        cls.engine, cls.agent = engine, agent
        keepers = ("--keepers", cls.cluster.keepers)
        cls.cluster.start(
            "engine",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{engine}",
            "--between-tokens-ms=10",
        )
        cls.cluster.start(
            "agent",
            "agent",
            "--server-id=s1",
            f"--backend-url=http://127.0.0.1:{engine}",
            f"--listen=127.0.0.1:{agent}",
            *keepers,
        )
        cls.cluster.start("entry", "entry", f"--listen=127.0.0.1:{cls.port}", *keepers)
        cls.cluster.put(model_value("m1"))
        wait_for(cls._answers, "a completion")

    @classmethod
    def _answers(cls) -> bool:
        ask = {"model": "m1", "prompt": "p", "max_tokens": 1}
        return call(cls.port, "POST", "/v1/completions", ask)[0] == 200

    def test_agent_reports_its_load(self):
        """The load report on an agent's answers can be read by the entry."""
        _, headers, _ = call(self.agent, "POST", "/v1/completions", {})
        report = parse_load_report(headers["x-cowslip-report"])
        self.assertEqual(report.knee_in_flight, 16)

    def test_hang_up_cancels_at_the_engine(self):
        """When a caller hangs up, the engine stops writing its answer."""
        n_cancelled = self._engine_state()["n_cancelled"]
        stream = _open_stream(self.port, max_tokens=30_000)
        stream.read1(1)
        stream.close()
        wait_for(
            lambda: self._engine_state()["n_cancelled"] > n_cancelled,
            "the engine to cancel",
        )

    def _engine_state(self) -> dict:
        return json.loads(call(self.engine, "GET", "/standin/state")[2])

    def test_streams_are_finished(self):
        """Every open stream ends whole, new requests are refused, the exit is 0."""
        entry = self.cluster.processes["entry"]
        with ThreadPoolExecutor(N_STREAMS) as pool:
            streams = [_open_stream(self.port) for _ in range(N_STREAMS)]
            entry.send_signal(signal.SIGTERM)
            wait_for(self._is_leaving, "readyz to be 503")
            ask = {"model": "m1", "prompt": "p"}
            status, headers, body = call(self.port, "POST", "/v1/completions", ask)
            texts = list(pool.map(_read_stream, streams))
        self.assertEqual((status, headers["x-cowslip-outcome"]), (503, "not-run"))
        self.assertEqual(json.loads(body)["error"]["name"], "ENTRY_LEAVING")
        self.assertEqual(texts, [expected_text(PROMPT, N_TOKENS)] * N_STREAMS)
        self.assertEqual(entry.wait(WAIT_S), 0)

    def _is_leaving(self) -> bool:
        return call(self.port, "GET", "/readyz")[0] == 503


def _open_stream(port: int, max_tokens: int = N_TOKENS) -> http.client.HTTPResponse:
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    ask = {"model": "m1", "prompt": PROMPT, "max_tokens": max_tokens, "stream": True}
    headers = {"connection": "close"}
    conn.request("POST", "/v1/completions", json.dumps(ask), headers)
    return conn.getresponse()


def _read_stream(response: http.client.HTTPResponse) -> str:
    """Return a whole stream's text."""
    *events, last = response.read().decode().strip().split("\n\n")
    if last != "data: [DONE]":
        raise AssertionError(f"the stream ended with {last!r}")
    values = [json.loads(event.removeprefix("data: ")) for event in events]
    return "".join(value["choices"][0]["text"] for value in values)
