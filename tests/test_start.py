"""Start of a program: the modules it imports and the compiled files it reads.

Importing takes most of the time of a restart.
"""

import subprocess
import sys
import unittest
from pathlib import Path

from .known_red import read_test_names

# Root folder of the repository.
ROOT = Path(__file__).resolve().parent.parent
# Libraries that the programs on the front hosts never call.
UNUSED_LIBRARIES = ("httpcore", "trio", "docutils", "defopt", "pygal", "tabulate")


def imported_modules(statement: str) -> set[str]:
    """Return the top-level modules that a statement imports in a new process."""
    code = f"import sys; {statement}; print(*{{n.split('.')[0] for n in sys.modules}})"
    finished = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return set(finished.stdout.split())


class ImportsTest(unittest.TestCase):
    """Programs import no library that they do not use."""

    def test_direct_entry(self):
        """An entry with direct routes imports no client or tool that it never calls."""
        names = imported_modules("import cowslipwood.entry.direct")
        self.assertEqual(names & set(UNUSED_LIBRARIES), set())

    def test_keeper(self):
        """A keeper imports no HTTP client other than the project's own, and no tool."""
        names = imported_modules("import cowslipwood.keeper")
        self.assertEqual(names & set(UNUSED_LIBRARIES), set())


class BuildTest(unittest.TestCase):
    """The build writes compiled files where the programs look for them."""

    def test_bytecode_folder(self):
        """Each program reads compiled files from the folder that the build writes."""
        build = (ROOT / "deploy" / "build.sh").read_text()
        prefix = next(
            line.partition("=")[2]
            for line in build.splitlines()
            if line.startswith("prefix=")
        )
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        run_lines = [line for line in deploy.splitlines() if line.startswith("run =")]
        self.assertEqual(len(run_lines), 2)
        for run_line in run_lines:
            self.assertIn(f"-X pycache_prefix={prefix} ", run_line)


class KnownRedTest(unittest.TestCase):
    """The list of tests known to fail, which CI excludes."""

    def test_names(self):
        """Only the field ``test`` of an entry names a test."""
        text = "test: tests.test_a.A.test_x\ncommand: test: no\nseen: once\n"
        self.assertEqual(read_test_names(text), {"tests.test_a.A.test_x"})
