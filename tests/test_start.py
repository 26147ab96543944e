"""What a program loads when it starts, which is most of the time of a restart."""

import subprocess
import sys
import unittest
from pathlib import Path

from .known_red import listed

ROOT = Path(__file__).resolve().parent.parent
# Clients and tools that the programs on the front hosts never call.
NEEDLESS = ("httpcore", "trio", "docutils", "defopt", "pygal", "tabulate")


def loaded(statement: str) -> set[str]:
    """Return the top-level modules that a statement loads in a new process."""
    code = f"import sys; {statement}; print(*{{n.split('.')[0] for n in sys.modules}})"
    ran = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return set(ran.stdout.split())


class ImportsTest(unittest.TestCase):
    """Programs load no library that they can do without."""

    def test_direct_entry(self):
        """An entry with direct routes loads nothing of an agent's callers."""
        names = loaded("import cowslipwood.entry.direct")
        self.assertEqual(names & set(NEEDLESS), set())

    def test_keeper(self):
        """A keeper loads no other HTTP client than the project's own."""
        names = loaded("import cowslipwood.keeper")
        self.assertEqual(names & set(NEEDLESS), set())


class BuildTest(unittest.TestCase):
    """The build leaves compiled files where the programs look for them."""

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
    """The list of tests that CI passes over."""

    def test_names(self):
        """An entry's first field names one test; the others name none."""
        text = "test: tests.test_a.A.test_x\ncommand: test: no\nseen: once\n"
        self.assertEqual(listed(text), {"tests.test_a.A.test_x"})
