"""The modules that programs import; imports take most of the time of a restart."""

import subprocess
import sys
import unittest
from pathlib import Path

from .known_red import read_test_names

ROOT = Path(__file__).resolve().parent.parent
# Modules of clients and tools that the programs on the front hosts never call.
CLIENT_AND_TOOL_MODULES = (
    "httpcore",
    "trio",
    "docutils",
    "defopt",
    "pygal",
    "tabulate",
)


def list_loaded_modules(statement: str) -> set[str]:
    """Return the top-level modules that a statement imports in a new process."""
    code = f"import sys; {statement}; print(*{{n.split('.')[0] for n in sys.modules}})"
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return set(completed.stdout.split())


class ImportsTest(unittest.TestCase):
    """Programs import no library that they do not call."""

    def test_direct_entry(self):
        """An entry with direct routes imports no client or tool."""
        names = list_loaded_modules("import cowslipwood.entry.direct")
        self.assertEqual(names & set(CLIENT_AND_TOOL_MODULES), set())

    def test_keeper(self):
        """A keeper imports no HTTP client besides the project's own."""
        names = list_loaded_modules("import cowslipwood.keeper")
        self.assertEqual(names & set(CLIENT_AND_TOOL_MODULES), set())


class BuildTest(unittest.TestCase):
    """The build writes compiled files to the folder that programs read."""

    def test_one_folder(self):
        """Each program reads the folder that the build writes."""
        build = (ROOT / "deploy" / "build.sh").read_text()
        prefix = next(
            line.partition("=")[2]
            for line in build.splitlines()
            if line.startswith("prefix=")
        )
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        runs = [line for line in deploy.splitlines() if line.startswith("run =")]
        self.assertEqual(len(runs), 2)
        for run in runs:
            self.assertIn(f"-X pycache_prefix={prefix} ", run)


class KnownRedTest(unittest.TestCase):
    """The list of tests whose failures CI ignores."""

    def test_names(self):
        """Only the first field of an entry names a test."""
        text = "test: tests.test_a.A.test_x\ncommand: test: no\nseen: once\n"
        self.assertEqual(read_test_names(text), {"tests.test_a.A.test_x"})
