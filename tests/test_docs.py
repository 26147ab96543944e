"""The commands and examples that the pages show."""

import json
import re
import shlex
import unittest
from pathlib import Path

from cowslipwood.catalogue import parse_entry

from .builders import model_value, service_value
from .processes import Cluster, call, free_port, wait_for

DOCS = Path(__file__).parent.parent / "docs"


def _blocks(page: str, mark: str) -> list[str]:
    text = (DOCS / page).read_text()
    found = re.findall(rf"^```{mark}\n(.*?)^```", text, re.M | re.S)
    return [line for block in found for line in block.splitlines()]


class _Addresses:
    """Gives each port of a page a free one, the same each time."""

    def __init__(self):
        self._ports: dict[str, int] = {}

    def replace(self, line: str) -> str:
        return re.sub(r"(?<=127\.0\.0\.1:)\d+", self._free, line)

    def port(self, shown: str) -> int:
        return self._ports[shown]

    def _free(self, match: re.Match) -> str:
        return str(self._ports.setdefault(match.group(), free_port()))


class TestOperating(unittest.TestCase):
    """The page on operating."""

    def test_start_and_edit(self):
        """The commands start every process, and both entries serve the catalogue."""
        addresses = _Addresses()
        with Cluster() as cluster:
            self._start(cluster, addresses)
            self._edit(cluster, addresses)
            for entry in ("8401", "8402"):
                self._check_answer(addresses.port(entry))

    def _start(self, cluster: Cluster, addresses: _Addresses) -> None:
        for number, line in enumerate(_blocks("OPERATING.md", "sh start")):
            program, *flags = shlex.split(addresses.replace(line))
            flags = [flag.replace("data/", f"{cluster.folder}/") for flag in flags]
            role = program.removeprefix("cowslip-")
            tokens = {}
            if role == "keeper":
                tokens["COWSLIP_OPERATOR_TOKEN"] = "operator-secret"
            cluster.start(f"{role}-{number}", role, *flags, **tokens)

    def _edit(self, cluster: Cluster, addresses: _Addresses) -> None:
        values = {
            "route-planner.json": model_value("route-planner"),
            "deliveries.json": service_value("deliveries", repeatable=False),
        }
        for name, value in values.items():
            (cluster.folder / name).write_text(json.dumps(value))
        for line in _blocks("OPERATING.md", "sh edit"):
            _, *flags = shlex.split(addresses.replace(line))
            flags = [
                str(cluster.folder / flag) if flag in values else flag for flag in flags
            ]
            keepers = flags[flags.index("--keepers") + 1]
            cluster.keepers = keepers
            ended = cluster.ctl(*flags)
            self.assertEqual(ended.returncode, 0, ended.stderr)

    def _check_answer(self, port: int) -> None:
        ask = {"model": "route-planner", "prompt": "the evening round"}
        wait_for(
            lambda: call(port, "POST", "/v1/completions", ask)[0] == 200, "a replica"
        )
        path = "/services/deliveries/record"
        wait_for(lambda: call(port, "POST", path, {})[0] == 200, "the service")


class TestInterface(unittest.TestCase):
    """The page on the interface."""

    def test_entry_example(self):
        """The catalogue entry that is shown is accepted."""
        shown = [
            json.loads(block)
            for block in re.findall(
                r"^```json\n(.*?)^```", (DOCS / "INTERFACE.md").read_text(), re.M | re.S
            )
        ]
        entries = [value for value in shown if "kind" in value]
        self.assertEqual(len(entries), 1)
        parse_entry(entries[0]).unwrap()
