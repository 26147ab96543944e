"""``cowslipctl`` against a keeper process."""

import json
import unittest

from .builders import adapter_value, model_value
from .direct_builders import document_value, route_value
from .processes import Cluster


class TestCtl(unittest.TestCase):
    """Edits and questions as an operator sends them."""

    @classmethod
    def setUpClass(cls):
        """Start one keeper for all tests."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()

    def _refused(self, exit_status: int, name: str, *arguments: str) -> str:
        ended = self.cluster.ctl(*arguments)
        self.assertEqual(ended.returncode, exit_status, ended.stderr)
        self.assertIn(name, ended.stderr)
        return ended.stderr

    def _file(self, value: object) -> str:
        path = self.cluster.folder / "value.json"
        path.write_text(json.dumps(value))
        return str(path)

    def _revision(self) -> int:
        return json.loads(self.cluster.ctl("status", "--json").stdout)["revision"]

    def test_refusals_change_nothing(self):
        """Each refused edit is numbered and leaves the revision as it was."""
        self.cluster.put(model_value("base-1"))
        self.cluster.put(adapter_value("adapter-1", "base-1"))
        before = self._revision()
        unknown = self._file(model_value("x", colour="red"))
        self.assertIn("colour", self._refused(23, "UNKNOWN_FIELD", "put", unknown))
        wrong = self._file(model_value("x", memory_bytes="big"))
        self.assertIn("memory_bytes", self._refused(23, "BAD_VALUE", "put", wrong))
        orphan = self._file(adapter_value("y", "nobody"))
        self._refused(24, "BASE_MISSING", "put", orphan)
        self._refused(24, "BASE_IN_USE", "delete", "base-1")
        self._refused(25, "NO_SUCH_ENTRY", "get", "nobody")
        self._refused(25, "NO_SUCH_SERVER", "drain", "nobody")
        stale = self._file(model_value("base-1", version="2"))
        self._refused(22, "REVISION_CONFLICT", "put", stale, "--expect-revision", "0")
        self.assertEqual(self._revision(), before)

    def test_same_edit_id_same_answer(self):
        """A resent edit gets the first answer; another edit under its id none."""
        path = self._file(model_value("base-2"))
        first = self.cluster.ctl("put", path, "--edit-id", "e-1", "--json")
        again = self.cluster.ctl("put", path, "--edit-id", "e-1", "--json")
        self.assertEqual(first.returncode, 0, first.stderr)
        self.assertEqual(first.stdout, again.stdout)
        other = self._file(model_value("base-3"))
        self._refused(22, "EDIT_ID_REUSED", "put", other, "--edit-id", "e-1")

    def test_wrong_operator_token(self):
        """An edit with another token is refused."""
        path = self._file(model_value("base-4"))
        ended = self.cluster.ctl("put", path, COWSLIP_OPERATOR_TOKEN="other")
        self.assertEqual(ended.returncode, 30)
        ended = self.cluster.ctl("list", COWSLIP_CLUSTER_TOKEN="other")
        self.assertEqual(ended.returncode, 30)

    def test_tables(self):
        """People get tables, and a flag may stand before the command."""
        self.cluster.put(model_value("base-5"))
        self.assertIn("base-5", self.cluster.ctl("list").stdout)
        self.assertIn("operator", self.cluster.ctl("history").stdout)
        self.assertIn("term", self.cluster.ctl("status").stdout)

    def test_wrong_usage(self):
        """A wrong flag, variable or address ends with its numbered error."""
        self._refused(40, "BAD_SETTING", "put")
        self._refused(40, "BAD_SETTING", "list", "--colour")
        ended = self.cluster.ctl("list", COWSLIP_COLOUR="red")
        self.assertEqual(ended.returncode, 41)
        self.assertIn("COWSLIP_COLOUR", ended.stderr)

    def test_apply_document(self):
        """A document takes effect once, by the highest version, and is read back."""
        value = document_value()
        path = self._file(value)
        applied = self.cluster.ctl("apply", path, "--version", "7", "--json")
        self.assertEqual(json.loads(applied.stdout), {"version": 7}, applied.stderr)
        older = self._file(document_value(routes=[]))
        again = self.cluster.ctl("apply", older, "--version", "6", "--json")
        self.assertEqual(json.loads(again.stdout), {"version": 7})
        held = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(held, {**value, "version": 7})
        broken = self._file(document_value(routes=[route_value(timeout_ms=0)]))
        self._refused(23, "BAD_VALUE", "apply", broken, "--version", "9")
        held = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(held["version"], 7)
