"""Commands and examples in the documentation work as shown."""

import json
import re
import shlex
import unittest
from pathlib import Path

from cowslipwood.catalogue import parse_entry

from .builders import model_value, service_value
from .processes import Cluster, call, free_port, wait_for

# Folder of the documentation.
DOCS = Path(__file__).parent.parent / "docs"


def _code_lines(page: str, info: str) -> list[str]:
    """Return the lines of all code blocks of a page that have an info string."""
    text = (DOCS / page).read_text()
    blocks = re.findall(rf"^```{info}\n(.*?)^```", text, re.M | re.S)
    return [line for block in blocks for line in block.splitlines()]


class _PortMap:
    """Replaces each port that a page shows by a free port, always the same."""

    def __init__(self):
        self._free_ports: dict[str, int] = {}

    def replace_ports(self, line: str) -> str:
        return re.sub(r"(?<=127\.0\.0\.1:)\d+", self._replace_match, line)

    def port_for(self, shown_port: str) -> int:
        return self._free_ports[shown_port]

    def _replace_match(self, match: re.Match) -> str:
        return str(self._free_ports.setdefault(match.group(), free_port()))


class TestOperating(unittest.TestCase):
    """The page on operating the system."""

    def test_start_and_edit(self):
        """The commands start every process, and both entries serve the catalogue."""
        ports = _PortMap()
        with Cluster() as cluster:
            self._start_processes(cluster, ports)
            self._edit_catalogue(cluster, ports)
            for entry in ("8401", "8402"):
                self._check_answers(ports.port_for(entry))

    def _start_processes(self, cluster: Cluster, ports: _PortMap) -> None:
        for number, line in enumerate(_code_lines("OPERATING.md", "sh start")):
            program, *flags = shlex.split(ports.replace_ports(line))
            flags = [flag.replace("data/", f"{cluster.folder}/") for flag in flags]
            role = program.removeprefix("cowslip-")
            tokens = {}
            if role == "keeper":
                tokens["COWSLIP_OPERATOR_TOKEN"] = "operator-secret"
            cluster.start(f"{role}-{number}", role, *flags, **tokens)

    def _edit_catalogue(self, cluster: Cluster, ports: _PortMap) -> None:
        values = {
            "route-planner.json": model_value("route-planner"),
            "deliveries.json": service_value("deliveries", repeatable=False),
        }
        for name, value in values.items():
            (cluster.folder / name).write_text(json.dumps(value))
        for line in _code_lines("OPERATING.md", "sh edit"):
            _, *flags = shlex.split(ports.replace_ports(line))
            flags = [
                str(cluster.folder / flag) if flag in values else flag for flag in flags
            ]
            keepers = flags[flags.index("--keepers") + 1]
            cluster.keepers = keepers
            finished = cluster.ctl(*flags)
            self.assertEqual(finished.returncode, 0, finished.stderr)

    def _check_answers(self, port: int) -> None:
        body = {"model": "route-planner", "prompt": "the evening round"}
        wait_for(
            lambda: call(port, "POST", "/v1/completions", body)[0] == 200, "a replica"
        )
        path = "/services/deliveries/record"
        wait_for(lambda: call(port, "POST", path, {})[0] == 200, "the service")


class TestInterface(unittest.TestCase):
    """The page on the HTTP interface."""

    def test_entry_example(self):
        """The page shows one catalogue entry, and the catalogue accepts it."""
        examples = [
            json.loads(block)
            for block in re.findall(
                r"^```json\n(.*?)^```", (DOCS / "INTERFACE.md").read_text(), re.M | re.S
            )
        ]
        entries = [value for value in examples if "kind" in value]
        self.assertEqual(len(entries), 1)
        parse_entry(entries[0]).unwrap()
