"""The whole path in separate processes."""

import json
import unittest

from cowslipwood.standins.engine import expected_text

from .builders import model_value, service_value
from .processes import Cluster, call, free_port, wait_for


class TestThinPath(unittest.TestCase):
    """Keeper, agents, entry and stand-ins as plain processes on loopback."""

    def test_catalogue_to_answer(self):
        """An entry put by an operator is served whole through the entry."""
        with Cluster() as cluster:
            port = self._start(cluster)
            cluster.put(model_value("m1"))
            cluster.put(service_value("rosters"))
            self._check_completion(port)
            self._check_service(port)

    def _start(self, cluster: Cluster) -> int:
        cluster.start_keeper()
        engine, service, agent_1, agent_2, entry = (free_port() for _ in range(5))
        keepers = ("--keepers", cluster.keepers)
        cluster.start("engine", "standin", "--kind=engine", _listen(engine))
        cluster.start("service", "standin", "--kind=service", _listen(service))
        cluster.start(
            "agent-1",
            "agent",
            "--server-id=s1",
            f"--backend-url=http://127.0.0.1:{engine}",
            _listen(agent_1),
            *keepers,
        )
        cluster.start(
            "agent-2",
            "agent",
            "--server-id=s2",
            f"--backend-url=http://127.0.0.1:{service}",
            "--dialect=service",
            "--service-name=rosters",
            _listen(agent_2),
            *keepers,
        )
        cluster.start("entry", "entry", _listen(entry), *keepers)
        return entry

    def _check_completion(self, port: int) -> None:
        request = {"model": "m1", "prompt": "bread for 9", "max_tokens": 5}
        ask = {**request, "stream": True}
        status, headers, body = wait_for(
            lambda: _if_ok(call(port, "POST", "/v1/completions", ask)), "completion"
        )
        self.assertIn("x-request-id", headers)
        events = body.decode().strip().split("\n\n")
        self.assertEqual(events[-1], "data: [DONE]")
        chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        self.assertEqual(text, expected_text("bread for 9", 5))

    def _check_service(self, port: int) -> None:
        status, _, body = wait_for(
            lambda: _if_ok(call(port, "POST", "/services/rosters/x", {"round": 7})),
            "service",
        )
        self.assertEqual(json.loads(body)["request"], {"round": 7})


def _listen(port: int) -> str:
    return f"--listen=127.0.0.1:{port}"


def _if_ok(answer: tuple) -> tuple | None:
    return answer if answer[0] == 200 else None
