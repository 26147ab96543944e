"""A request's path through separate processes, from the entry to a backend server."""

import json
import unittest

from cowslipwood.standins.engine import make_expected_text

from .builders import model_value, service_value
from .processes import Cluster, call, free_port, wait_for


class TestThinPath(unittest.TestCase):
    """A keeper, agents, an entry and stand-in servers as processes on loopback."""

    def test_catalogue_to_answer(self):
        """A model and a service that an operator puts are served through the entry."""
        with Cluster() as cluster:
            port = self._start_processes(cluster)
            cluster.put(model_value("m1"))
            cluster.put(service_value("rosters"))
            self._check_stream(port)
            self._check_service(port)

    def _start_processes(self, cluster: Cluster) -> int:
        cluster.start_keeper()
        engine, service, agent_1, agent_2, entry = (free_port() for _ in range(5))
        keepers = ("--keepers", cluster.keepers)
        cluster.start("engine", "standin", "--kind=engine", _listen_flag(engine))
        cluster.start("service", "standin", "--kind=service", _listen_flag(service))
        cluster.start(
            "agent-1",
            "agent",
            "--server-id=s1",
            f"--backend-url=http://127.0.0.1:{engine}",
            _listen_flag(agent_1),
            *keepers,
        )
        cluster.start(
            "agent-2",
            "agent",
            "--server-id=s2",
            f"--backend-url=http://127.0.0.1:{service}",
            "--dialect=service",
            "--service-name=rosters",
            _listen_flag(agent_2),
            *keepers,
        )
        cluster.start("entry", "entry", _listen_flag(entry), *keepers)
        return entry

    def _check_stream(self, port: int) -> None:
        request = {"model": "m1", "prompt": "bread for 9", "max_tokens": 5}
        body = {**request, "stream": True}
        status, headers, answer_body = wait_for(
            lambda: _answer_if_ok(call(port, "POST", "/v1/completions", body)),
            "completion",
        )
        self.assertIn("x-request-id", headers)
        events = answer_body.decode().strip().split("\n\n")
        self.assertEqual(events[-1], "data: [DONE]")
        chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        self.assertEqual(text, make_expected_text("bread for 9", 5))

    def _check_service(self, port: int) -> None:
        status, _, answer_body = wait_for(
            lambda: _answer_if_ok(
                call(port, "POST", "/services/rosters/x", {"round": 7})
            ),
            "service",
        )
        self.assertEqual(json.loads(answer_body)["request"], {"round": 7})


def _listen_flag(port: int) -> str:
    return f"--listen=127.0.0.1:{port}"


def _answer_if_ok(answer: tuple) -> tuple | None:
    return answer if answer[0] == 200 else None
