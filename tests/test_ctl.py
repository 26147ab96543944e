"""``cowslipctl`` with a keeper process."""

import json
import unittest

from .builders import adapter_value, model_value
from .direct_builders import document_value, route_value
from .processes import Cluster


class TestCtl(unittest.TestCase):
    """An operator's edits and queries."""

    @classmethod
    def setUpClass(cls):
        """Start one keeper for all tests."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()

    def _run_refused(self, exit_status: int, name: str, *arguments: str) -> str:
        completed = self.cluster.ctl(*arguments)
        self.assertEqual(completed.returncode, exit_status, completed.stderr)
        self.assertIn(name, completed.stderr)
        return completed.stderr

    def _write_file(self, value: object) -> str:
        path = self.cluster.folder / "value.json"
        path.write_text(json.dumps(value))
        return str(path)

    def _get_revision(self) -> int:
        return json.loads(self.cluster.ctl("status", "--json").stdout)["revision"]

    def test_refusals_change_nothing(self):
        """A refused edit is reported with its code and does not change the revision."""
        self.cluster.put(model_value("base-1"))
        self.cluster.put(adapter_value("adapter-1", "base-1"))
        revision_before = self._get_revision()
        unknown = self._write_file(model_value("x", colour="red"))
        self.assertIn("colour", self._run_refused(23, "UNKNOWN_FIELD", "put", unknown))
        wrong = self._write_file(model_value("x", memory_bytes="big"))
        self.assertIn("memory_bytes", self._run_refused(23, "BAD_VALUE", "put", wrong))
        orphan = self._write_file(adapter_value("y", "nobody"))
        self._run_refused(24, "BASE_MISSING", "put", orphan)
        self._run_refused(24, "BASE_IN_USE", "delete", "base-1")
        self._run_refused(25, "NO_SUCH_ENTRY", "get", "nobody")
        self._run_refused(25, "NO_SUCH_SERVER", "drain", "nobody")
        stale = self._write_file(model_value("base-1", version="2"))
        self._run_refused(
            22, "REVISION_CONFLICT", "put", stale, "--expect-revision", "0"
        )
        self.assertEqual(self._get_revision(), revision_before)

    def test_same_edit_id_same_answer(self):
        """A resent edit gets the first answer; another edit with its id is refused."""
        path = self._write_file(model_value("base-2"))
        first = self.cluster.ctl("put", path, "--edit-id", "e-1", "--json")
        second = self.cluster.ctl("put", path, "--edit-id", "e-1", "--json")
        self.assertEqual(first.returncode, 0, first.stderr)
        self.assertEqual(first.stdout, second.stdout)
        other = self._write_file(model_value("base-3"))
        self._run_refused(22, "EDIT_ID_REUSED", "put", other, "--edit-id", "e-1")

    def test_wrong_operator_token(self):
        """An edit with a wrong operator token or cluster token is refused."""
        path = self._write_file(model_value("base-4"))
        completed = self.cluster.ctl("put", path, COWSLIP_OPERATOR_TOKEN="other")
        self.assertEqual(completed.returncode, 30)
        completed = self.cluster.ctl("list", COWSLIP_CLUSTER_TOKEN="other")
        self.assertEqual(completed.returncode, 30)

    def test_tables(self):
        """Answers are printed as tables; a flag may precede the command."""
        self.cluster.put(model_value("base-5"))
        self.assertIn("base-5", self.cluster.ctl("list").stdout)
        self.assertIn("operator", self.cluster.ctl("history").stdout)
        self.assertIn("term", self.cluster.ctl("status").stdout)

    def test_wrong_usage(self):
        """A missing argument, an unknown flag or variable is reported with its code."""
        self._run_refused(40, "BAD_SETTING", "put")
        self._run_refused(40, "BAD_SETTING", "list", "--colour")
        completed = self.cluster.ctl("list", COWSLIP_COLOUR="red")
        self.assertEqual(completed.returncode, 41)
        self.assertIn("COWSLIP_COLOUR", completed.stderr)

    def test_apply_document(self):
        """A document with a higher version takes effect and is read back unchanged."""
        value = document_value()
        path = self._write_file(value)
        applied = self.cluster.ctl("apply", path, "--version", "7", "--json")
        self.assertEqual(json.loads(applied.stdout), {"version": 7}, applied.stderr)
        older_path = self._write_file(document_value(routes=[]))
        second = self.cluster.ctl("apply", older_path, "--version", "6", "--json")
        self.assertEqual(json.loads(second.stdout), {"version": 7})
        document = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(document, {**value, "version": 7})
        broken = self._write_file(document_value(routes=[route_value(timeout_ms=0)]))
        self._run_refused(23, "BAD_VALUE", "apply", broken, "--version", "9")
        document = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(document["version"], 7)
