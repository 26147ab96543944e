"""The platform adapter: translation of names and formats, without decisions."""

import importlib
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import orjson
from returns.result import Failure as Err

from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.http_pool import ConnectionPool
from cowslipwood.listing import to_server_view
from cowslipwood.routes import parse_document

from .direct_builders import (
    always_send,
    build_answer,
    build_listed_server,
    run_scripted_server,
)

# Folder of the program that starts the others and of the adapter package.
ADAPTER = Path(__file__).resolve().parent.parent / "platform"


def adapter_module(name: str):
    """Import a module of the adapter by the path that its programs use."""
    sys.path.insert(0, str(ADAPTER))
    try:
        return importlib.import_module(f"adapter.{name}")
    finally:
        sys.path.remove(str(ADAPTER))


def config_value() -> dict:
    """Return a config in the platform's field names."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "a.example",
                "pathPrefix": "/x/",
                "kind": "streaming",
                "timeoutMs": 8000,
                "targetLatencyMs": 1500,
                "priority": 1,
                "split": [
                    {"service": "llm", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapTargetMs": 400,
            },
            {
                "name": "r2",
                "host": "a.example",
                "pathPrefix": "/y/",
                "kind": "unsafe",
                "timeoutMs": 1000.5,
                "service": "desk",
            },
        ],
        "services": [
            {
                "name": "llm",
                "maxConnections": 390,
                "engine": {
                    "slots": 64,
                    "weightsMb": 200000.0,
                    "maxAdapters": 5,
                    "loadsPerS": 2.1,
                    "kvCacheTokens": 232000,
                    "models": [
                        {"name": "m1", "weightsMb": 65100, "adapters": 47, "diskS": 0.5}
                    ],
                },
            },
            {"name": "desk", "healthPath": "/health", "maxConnections": 130},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
    }


class ConfigTest(unittest.TestCase):
    """Translation of a config into a document of routes."""

    def parse(self, value):
        """Translate a config, given as bytes or as a value, and parse the document."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        translated = adapter_module("_config").translate_config(body)
        return translated.bind(lambda document: parse_document(orjson.dumps(document)))

    def test_fields(self):
        """Each field of the config becomes the field of the document that it means."""
        document = self.parse(config_value()).unwrap()
        first, second = document.routes
        self.assertEqual([part.weight for part in first.services], [90.0, 10.0])
        self.assertTrue(first.is_resumable)
        self.assertEqual(second.timeout_ms, 1000.5)
        self.assertEqual(second.max_attempts, 1)
        engine = document.service("llm").engine
        self.assertEqual(engine.models[0].n_adapters, 47)
        self.assertEqual(engine.models[0].disk_load_s, 0.5)
        self.assertIsNone(document.service("desk").engine)
        self.assertEqual(document.limits.max_body_bytes, 4194304)

    def test_unknown_kind(self):
        """Requests of an unknown kind of route must run at most once."""
        value = config_value()
        value["routes"][0]["kind"] = "keyed"
        self.assertEqual(self.parse(value).unwrap().routes[0].kind, "unsafe")

    def test_malformed_configs(self):
        """A config with any malformed or missing part is refused as a whole."""
        malformed = [b"{", b"[]", b'{"version":1}', b"null"]
        for change in ({"routes": [1]}, {"services": None}, {"routes": [{}]}):
            malformed.append(json.dumps({**config_value(), **change}).encode())
        for body in malformed:
            with self.subTest(body=body[:40]):
                self.assertEqual(type(self.parse(body)).__name__, "Failure")

    def test_customers(self):
        """Customers, and routes without keys, keep their values."""
        value = config_value()
        value["routes"][1]["authExempt"] = True
        value["tenants"] = [
            {
                "name": "alder",
                "apiKeys": ["k1", "k2"],
                "priority": 2,
                "unit": "token_stream",
                "plainTokens": 200,
                "ratePerS": 277744,
                "burst": 10,
            },
            {"name": "birch", "apiKeys": []},
        ]
        document = self.parse(value).unwrap()
        first, second = document.customers
        self.assertEqual(first.keys, ("k1", "k2"))
        self.assertEqual(
            (first.priority, first.rate_per_s, first.burst, first.plain_tokens),
            (2, 277744.0, 10.0, 200),
        )
        self.assertEqual((first.unit, second.unit), ("tokens", "requests"))
        self.assertIsNone(second.priority)
        self.assertEqual(
            [route.needs_no_key for route in document.routes], [False, True]
        )

    # An empty list of customers was taken for none, which opened every route.
    def test_empty_customers(self):
        """An empty list needs keys; a config without a list, or with null, does not."""
        for changes, needs_key in (
            ({}, False),
            ({"tenants": None}, False),
            ({"tenants": []}, True),
            ({"tenants": [{"name": "a"}]}, True),
            ({"tenants": [{"name": "a", "apiKeys": []}]}, True),
        ):
            with self.subTest(changes=changes):
                document = self.parse({**config_value(), **changes}).unwrap()
                self.assertEqual(document.needs_key, needs_key)

    # Guards against a config without keys that is taken for one without customers.
    def test_wrong_customers(self):
        """A wrong field is named as in the config, and no key is repeated."""
        secret = "k-secret-1"
        cases = (
            ("tenants", "tenants"),
            ({}, "tenants"),
            ([secret], "tenants"),
            ([{"apiKeys": [secret]}], "name"),
            ([{"name": "a", "apiKeys": secret}], "apiKeys"),
            ([{"name": "a", "apiKeys": [secret, 7]}], "apiKeys"),
            ([{"name": "a", "apiKeys": [secret], "ratePerS": secret}], "ratePerS"),
            ([{"name": "a", "apiKeys": [secret], "ratePerS": -1}], "ratePerS"),
            ([{"name": "a", "apiKeys": [secret], "unit": 7}], "unit"),
            ([{"name": n, "apiKeys": [secret]} for n in "ab"], "apiKeys"),
        )
        for tenants, field in cases:
            with self.subTest(tenants=tenants):
                fault = self.parse({**config_value(), "tenants": tenants}).failure()
                restore = adapter_module("_config").restore_field_names
                message = restore(fault.message)
                self.assertIn(field, message)
                self.assertNotIn(secret, message)


class NodeTest(unittest.TestCase):
    """The settings file of a process."""

    def test_removal_of_keys(self):
        """The bound on removed keys counts only where it is strict."""
        for bounds, expected in (
            ({}, 0),
            ({"revokeMs": 4000}, 0),
            ({"revokeStrict": False, "revokeMs": 4000}, 0),
            ({"revokeStrict": True}, 5000),
            ({"revokeStrict": True, "revokeMs": 4000}, 4000),
        ):
            value = {
                "nodeName": "n1",
                "ip": "10.0.0.1",
                "zone": "z",
                "listenAddrs": {},
                "internalPorts": [7300, 7399],
                "seeds": [],
                "bootstrap": False,
                "cloudApi": {"address": "10.0.0.2:80"},
                "bounds": bounds,
            }
            node = adapter_module("_node")._parse_node(value)
            self.assertEqual(node.revoke_ms, expected)


class ListTest(unittest.TestCase):
    """Reading of the entries of the list."""

    ENTRY = {
        "id": "i-1",
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "draining",
        "born": 12,
        "models": [{"name": "m1", "version": 1, "adapters": ["a1"]}],
    }

    def test_read(self):
        """A complete entry gives a server."""
        server = adapter_module("_list")._read_server(self.ENTRY)
        self.assertTrue(server.is_leaving)
        self.assertEqual(server.models[0].adapters, ("a1",))

    def test_malformed_entries(self):
        """An entry with a field missing or of the wrong type gives no server."""
        malformed = [None, 3, {}, "text"]
        for name in ("id", "service", "address", "zone", "slots", "state"):
            malformed.append({**self.ENTRY, name: None})
            malformed.append({**self.ENTRY, name: 7 if name != "slots" else "4"})
        malformed.append({**self.ENTRY, "state": "melting"})
        malformed.append({**self.ENTRY, "models": [3]})
        for entry in malformed:
            with self.subTest(entry=entry):
                self.assertIsNone(adapter_module("_list")._read_server(entry))


class RunsTest(unittest.TestCase):
    """What a model server's report says of a run."""

    def find_run(self, body: bytes, status: str = "200 OK") -> bool | None:
        """Return the result for a report with these bytes."""

        async def main() -> bool | None:
            script = always_send(build_answer(body, status))
            async with run_scripted_server(script) as (addr, _):
                pool = ConnectionPool()
                finder = adapter_module("_reports").PlatformReports()
                found = await finder.find_run(pool, addr, "s1", "q1", 5_000.0)
                await pool.close()
                return found

        return anyio.run(main)

    def test_reports(self):
        """A run is found by its id; a report that cannot be read tells nothing."""
        for body, expected in (
            (b'{"runs":[["q0",1,2,1],["q1",9,2,1]]}', True),
            (b'{"runs":[["q0",1,2,1]]}', False),
            (b'{"runs":[]}', False),
            (b'{"running":1}', None),
            (b'{"runs":[[]]}', None),
            (b'{"runs":[7]}', None),
            (b"[]", None),
            (b"x", None),
        ):
            with self.subTest(body):
                self.assertIs(self.find_run(body), expected)
        self.assertIsNone(self.find_run(b'{"runs":[]}', "503 Busy"))

    # A stream was held for 1.2 s and failed though its server had ended.
    def test_server_that_is_not_there(self):
        """Another process at the address tells that the server, and its run, ended."""
        self.assertIs(self.find_run(b"", "421 X"), False)


class ReloadTest(unittest.TestCase):
    """Reload of settings in a running program."""

    def test_unreadable_settings(self):
        """An unreadable file leaves the previous settings in force."""
        reload = adapter_module("_reload")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.json"
            path.write_text('{"nodeName": ')
            with mock.patch.dict(os.environ, {"COWSLIPWOOD_NODE_FILE": str(path)}):
                previous = object()
                self.assertIs(reload._reload_settings(None, previous), previous)


class FolderTest(unittest.TestCase):
    """Effects of the platform folder on the rest of the code."""

    def test_standard_library(self):
        """The folder does not hide the standard library's module ``platform``."""
        import platform

        self.assertTrue(platform.python_version().startswith("3."))

    def test_platform_names(self):
        """No source file outside the folder contains a name of the platform."""
        names = ("pathPrefix", "expect-instance", "fencingToken", "COWSLIPWOOD_NODE")
        for path in (ADAPTER.parent / "src").rglob("*.py"):
            text = path.read_text()
            for name in names:
                self.assertNotIn(name, text, path.name)


class BornReportTest(unittest.TestCase):
    """What an engine says of its start over the connection of the next request."""

    async def _read(self, answer: bytes, kind: str = "engine") -> tuple[Any, bool]:
        """Return what the engine said, and whether the connection is free again."""
        async with run_scripted_server(always_send(answer)) as (addr, heads):
            view = to_server_view(build_listed_server("s0", addr), ())
            conn = await ConnectionPool().acquire(addr, monotonic_ms(), 1_000.0)
            reply = (
                await adapter_module("_reports")
                .PlatformReports()
                .read_born_ms(conn, view._replace(kind=kind))
            )
            is_free = conn.n_requests == 0
            if heads and not isinstance(reply, Err):
                # A second copy of the report would pass for the answer to a request.
                self.assertEqual(conn.n_requests, 1)
                request = (b"GET", b"/x", [(b"host", b"h")], b"")
                await conn.send(*request)
                is_free = (await conn.receive_head()).status == 200
            await conn.close()
            return reply, is_free

    def test_report(self):
        """Another report than a whole number counts as none; an error as a failure."""
        for body, expected in (
            (b'{"born": 1780000000000}', 1780000000000),
            (b'{"born": "1780000000000"}', 0),
            (b'{"born": 1.5}', 0),
            (b'{"born": true}', 0),
            (b"{}", 0),
            (b"[]", 0),
            (b"no report", 0),
        ):
            with self.subTest(body=body):
                reply, is_free = anyio.run(self._read, build_answer(body))
                self.assertEqual((reply.unwrap(), is_free), (expected, True))

    def test_no_report(self):
        """A refusal, a cut answer or a last answer of a connection is a failure."""
        for answer in (
            build_answer(b"{}", "503 Busy"),
            build_answer(b"{}", extra_headers="connection: close\r\n"),
            b"no answer\r\n\r\n",
        ):
            with self.subTest(answer=answer):
                reply, _ = anyio.run(self._read, answer)
                self.assertIsInstance(reply, Err)

    def test_plain_service(self):
        """A plain service is not asked."""
        reply, is_free = anyio.run(self._read, b"", "service")
        self.assertEqual((reply.unwrap(), is_free), (0, True))
