"""Requests with the keys of customers."""

import unittest
from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Success
from structlog.testing import capture_logs

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.entry.direct._customer_keys import CustomerKeys
from cowslipwood.entry.direct._headers import HeaderNames
from cowslipwood.entry.direct._identity import RequestIdentity
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.messages import Ack, DocumentVersion, DocumentVersionRequest
from cowslipwood.routes import MAX_KEY_BYTES, Customer, parse_document

from .customer_builders import (
    CUSTOMER_ROUTES,
    KEY,
    build_customer_document,
    build_customer_keys,
    customer_value,
    key_headers,
)
from .direct_builders import (
    always_send,
    build_answer,
    build_direct_state,
    build_document,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
    document_bytes,
    run_scripted_server,
)

NAMES = HeaderNames()
KEYED = build_route()
EXEMPT = build_route(needs_no_key=True)
# Time within which a removed key has to stop working, in milliseconds.
REVOKE_MS = 5_000.0


def get_code(found: Any) -> Code | None:
    """Return the code of a failure; None for what is none."""
    return found.code if isinstance(found, Failure) else None


class IdentifyTest(unittest.TestCase):
    """Which customer a request belongs to."""

    def test_each_key_of_each_customer(self):
        """Every key leads to the customer that holds it."""
        document = build_customer_document(
            customer_value(keys=["a1", "a2"]), customer_value(name="birch", keys=["b1"])
        )
        keys = build_customer_keys(document)
        for key, name in (("a1", "alder"), ("a2", "alder"), ("b1", "birch")):
            found = keys.identify(key_headers(key), KEYED, 0.0)
            self.assertIsInstance(found, Customer)
            self.assertEqual(found.name, name)

    # Guards against a request that runs without a customer, or for another one.
    def test_invalid_keys(self):
        """Requests without exactly one known key get BAD_KEY, unless exempt."""
        keys = build_customer_keys(build_customer_document())
        cases = (
            (),
            ("",),
            ("  ",),
            ("unknown",),
            (KEY.upper(),),
            (KEY[:-1],),
            (KEY + "x",),
            (KEY, KEY),
            (KEY, "unknown"),
            ("", KEY),
            ("x" * (MAX_KEY_BYTES + 1),),
        )
        for values in cases:
            headers = key_headers(*values)
            with self.subTest(values=values):
                found = keys.identify(headers, KEYED, 0.0)
                self.assertEqual(get_code(found), Code.BAD_KEY)
                self.assertNotIn(KEY, found.message)
                self.assertIsNone(keys.identify(headers, EXEMPT, 0.0))

    def test_key_on_exempt_route(self):
        """A known key is recognised also where none is needed."""
        keys = build_customer_keys(build_customer_document())
        found = keys.identify(key_headers(KEY), EXEMPT, 0.0)
        self.assertEqual(found.name, "alder")

    def test_blanks_around_the_key(self):
        """Blanks around a header's value are not part of it."""
        keys = build_customer_keys(build_customer_document())
        found = keys.identify(key_headers(f" {KEY}\t"), KEYED, 0.0)
        self.assertEqual(found.name, "alder")

    def test_longest_key(self):
        """A key of the largest length that a document may have is recognised."""
        long_key = "x" * MAX_KEY_BYTES
        document = build_customer_document(customer_value(keys=[long_key]))
        found = build_customer_keys(document).identify(key_headers(long_key), KEYED, 0)
        self.assertEqual(found.name, "alder")

    # Guards against deployments without customers whose callers send such headers.
    def test_no_customers(self):
        """Without customers no key is needed, and all headers are forwarded."""
        keys = build_customer_keys(build_document())
        self.assertIsNone(keys.identify(key_headers(), KEYED, 0.0))
        headers = [*key_headers(KEY), (NAMES.customer, b"x")]
        self.assertEqual(keys.remove_headers(headers), headers)

    def test_newer_document(self):
        """Keys that a newer document lacks are invalid, those that it adds valid."""
        keys = build_customer_keys(build_customer_document())
        keys.apply_document(
            build_customer_document(customer_value(keys=["new"]), version=2)
        )
        found = keys.identify(key_headers(KEY), KEYED, 0.0)
        self.assertEqual(get_code(found), Code.BAD_KEY)
        self.assertEqual(keys.identify(key_headers("new"), KEYED, 0.0).name, "alder")


class ProofTest(unittest.TestCase):
    """Keys whose removal has to take effect within a bound."""

    def setUp(self):
        self.keys = build_customer_keys(build_customer_document(), revoke_ms=REVOKE_MS)

    def identify(self, now_ms: float, key: str = KEY, route: Any = KEYED) -> Any:
        return self.keys.identify(key_headers(key), route, now_ms)

    # Guards against an entry that has just started with a document from a buffer.
    def test_no_proof_yet(self):
        """Before the first proof no key is accepted or called invalid."""
        for key in (KEY, "unknown"):
            fault = self.identify(0.0, key)
            self.assertEqual(fault.code, Code.KEYS_UNCERTAIN)
            self.assertGreater(fault.retry_after_ms, 0)
        self.assertFalse(self.keys.is_ready)
        self.assertEqual(get_code(self.identify(0.0, "")), Code.BAD_KEY)

    # Guards against a removed key that runs at an entry that is cut off or resumed.
    def test_age_of_the_proof(self):
        """A key is accepted for 0.6 of the bound after a proof, and not for all of it.

        The time counts from the question, however late the reply comes.
        """
        self.assertTrue(self.keys.record_version(1, 1_000.0))
        self.assertTrue(self.keys.is_ready)
        self.assertEqual(self.identify(1_000.0 + 0.6 * REVOKE_MS).name, "alder")
        for late_ms in (0.8 * REVOKE_MS, REVOKE_MS, 1e9):
            found = self.identify(1_000.0 + late_ms)
            self.assertEqual(get_code(found), Code.KEYS_UNCERTAIN)

    # Guards against a caller that gives up a key which is valid in a newer document.
    def test_unknown_key_is_uncertain_sooner(self):
        """An unknown key is called invalid only just after a proof."""
        self.keys.record_version(1, 0.0)
        found = self.identify(0.3 * REVOKE_MS, "unknown")
        self.assertEqual(get_code(found), Code.BAD_KEY)
        found = self.identify(0.5 * REVOKE_MS, "unknown")
        self.assertEqual(get_code(found), Code.KEYS_UNCERTAIN)

    # Guards against an entry to which a newer document was not sent yet.
    def test_newer_version_in_force(self):
        """A reply that names a newer version proves nothing."""
        self.assertFalse(self.keys.record_version(2, 0.0))
        self.assertEqual(get_code(self.identify(0.0)), Code.KEYS_UNCERTAIN)
        self.keys.apply_document(build_customer_document(version=2))
        self.assertEqual(get_code(self.identify(0.0)), Code.KEYS_UNCERTAIN)
        self.assertTrue(self.keys.record_version(2, 0.0))
        self.assertEqual(self.identify(0.0).name, "alder")

    def test_older_version_in_force(self):
        """A reply from before the entry's own document proves that one as well."""
        self.keys.apply_document(build_customer_document(version=2))
        self.assertTrue(self.keys.record_version(1, 0.0))
        self.assertEqual(self.identify(1.0).name, "alder")

    def test_replies_out_of_order(self):
        """The reply to an earlier question does not make the proof older."""
        self.keys.record_version(1, 5_000.0)
        self.keys.record_version(1, 1_000.0)
        self.assertEqual(self.identify(5_000.0 + 0.6 * REVOKE_MS).name, "alder")

    # Guards against servers that get no customer's name while the proof is old.
    def test_exempt_route(self):
        """Without a proof, an exempt request is served, for the holder of its key."""
        for proved_ms in (None, 0.0):
            if proved_ms is not None:
                self.keys.record_version(1, proved_ms)
            for now_ms in (0.0, REVOKE_MS, 1e9):
                found = self.identify(now_ms, route=EXEMPT)
                self.assertEqual(getattr(found, "name", None), "alder")
                self.assertIsNone(self.identify(now_ms, "unknown", EXEMPT))
                self.assertIsNone(self.identify(now_ms, "", EXEMPT))

    def test_not_strict(self):
        """Without a bound, keys are accepted without a proof."""
        keys = build_customer_keys(build_customer_document())
        self.assertEqual(keys.identify(key_headers(KEY), KEYED, 1e9).name, "alder")
        self.assertTrue(keys.is_ready)

    # Guards against a caller that gives up a key which was added meanwhile.
    def test_unknown_key_without_leader(self):
        """Without a leader, a known key works and an unknown one is uncertain."""
        keys = build_customer_keys(build_customer_document())
        keys.record_contact(1_000.0)
        unknown = key_headers("unknown")
        found = keys.identify(unknown, KEYED, 2_000.0)
        self.assertEqual(get_code(found), Code.BAD_KEY)
        found = keys.identify(unknown, KEYED, 4_000.0)
        self.assertEqual(get_code(found), Code.KEYS_UNCERTAIN)
        self.assertEqual(keys.identify(key_headers(KEY), KEYED, 1e9).name, "alder")


class QueryTest(unittest.TestCase):
    """The questions to the leader."""

    def run_queries(
        self, document: Any, replies: list[Any], **options: Any
    ) -> tuple[CustomerKeys, int]:
        """Run the loop until all replies were sent; return the number of questions."""
        n_asked = 0

        async def ask(request: Any, timeout_ms: float) -> Any:
            nonlocal n_asked
            self.assertIsInstance(request, DocumentVersionRequest)
            n_asked += 1
            if n_asked > len(replies):
                await anyio.sleep_forever()
            return replies[n_asked - 1]

        async def main() -> CustomerKeys:
            keys = build_customer_keys(document, ask_leader=ask, **options)
            with anyio.move_on_after(0.5):
                await keys.run()
            return keys

        with capture_logs() as self.logs:
            keys = anyio.run(main)
        return keys, n_asked

    # Guards against a reply that lay in a buffer while the entry was paused.
    def test_late_reply(self):
        """A reply proves the document for the time of the question only."""
        now_ms = 0.0

        async def ask(request: Any, timeout_ms: float) -> Any:
            nonlocal now_ms
            if now_ms:
                await anyio.sleep_forever()
            now_ms = REVOKE_MS
            return Success(DocumentVersion(1))

        async def main() -> CustomerKeys:
            document = build_customer_document()
            keys = build_customer_keys(document, revoke_ms=REVOKE_MS, ask_leader=ask)
            with anyio.move_on_after(0.2):
                await keys.run(lambda: now_ms)
            return keys

        with capture_logs():
            keys = anyio.run(main)
        self.assertTrue(keys.is_ready)
        found = keys.identify(key_headers(KEY), KEYED, now_ms)
        self.assertEqual(get_code(found), Code.KEYS_UNCERTAIN)

    # Guards against needless load on the leader of other deployments.
    def test_no_questions(self):
        """Nothing is asked without customers or without a bound."""
        for document, revoke_ms in (
            (build_document(), 100.0),
            (build_customer_document(), 0.0),
        ):
            _, n_asked = self.run_queries(document, [], revoke_ms=revoke_ms)
            self.assertEqual(n_asked, 0)

    def test_refusals_and_replies(self):
        """The loop goes on after refusals, and logs when keys become certain."""
        refusal = Err(failure(Code.NOT_LEADER))
        replies = [refusal, Success(Ack(1)), Success(DocumentVersion(1))]
        keys, n_asked = self.run_queries(
            build_customer_document(), replies, revoke_ms=1_000.0
        )
        self.assertEqual(n_asked, 4)
        self.assertTrue(keys.is_ready)
        self.assertIn("keys_certain", [line["event"] for line in self.logs])


class FirstProofTest(unittest.TestCase):
    """Requests that arrive at an entry before its document and the first proof."""

    # The callers of a restarted entry were refused between its document and the proof.
    def test_request_waits(self):
        """A request waits for both, for a part of its caller's time."""

        async def main(has_proof: bool) -> Any:
            state = build_direct_state([])
            state.customer_keys = CustomerKeys(NAMES, state.metrics, REVOKE_MS)
            app = RouteApp(state, create_rng())
            headers = [*key_headers(KEY), (NAMES.deadline, b"800")]

            async def prove() -> None:
                await anyio.sleep(0.02)
                state.apply_document(build_customer_document())
                await anyio.sleep(0.02)
                if has_proof:
                    state.customer_keys.record_version(1, state.now_ms())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(prove)
                await app._wait_for_document({"headers": headers})
            return state.customer_keys.identify(headers, KEYED, state.now_ms())

        self.assertEqual(anyio.run(main, True).name, "alder")
        self.assertEqual(get_code(anyio.run(main, False)), Code.KEYS_UNCERTAIN)


class ServedRequestTest(unittest.TestCase):
    """What an entry sends to a server, and answers to a client."""

    async def _call(
        self, path: str, headers: list[tuple[bytes, bytes]], **changes: Any
    ) -> tuple[int, list[bytes]]:
        """Return the status, and the heads that the server received."""
        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        events = [{"type": "http.request", "body": b""}]
        statuses: list[int] = []

        async def receive() -> dict[str, Any]:
            if not events:
                await anyio.sleep_forever()
            return events.pop(0)

        async def send(event: dict[str, Any]) -> None:
            if event["type"] == "http.response.start":
                statuses.append(event["status"])

        async with run_scripted_server(always_send(build_answer())) as (addr, heads):
            state = build_direct_state([build_listed_server("s0", addr)])
            state.apply_document(build_customer_document(customer_value(**changes)))
            with capture_logs() as logs:
                await RouteApp(state, create_rng())(scope, receive, send)
            self.assertNotIn(KEY, str(logs))
        return statuses[0], heads

    def _send(
        self, path: str, headers: list[tuple[bytes, bytes]], **changes: Any
    ) -> tuple[int, list[bytes]]:
        return anyio.run(lambda: self._call(path, headers, **changes))

    # Guards against servers that learn keys, or believe a client's customer.
    def test_headers_of_a_known_customer(self):
        """The server gets the customer's name from the entry, and no key."""
        headers = [
            *key_headers(KEY),
            (NAMES.customer, b"birch"),
            (NAMES.customer, b"cedar"),
            (b"connection", NAMES.customer),
        ]
        status, heads = self._send("/orders/1", headers)
        self.assertEqual(status, 200)
        self.assertEqual(heads[0].count(NAMES.customer + b": alder\r\n"), 1)
        self.assertEqual(heads[0].count(NAMES.customer), 1)
        self.assertNotIn(KEY.encode(), heads[0])
        self.assertNotIn(NAMES.key, heads[0])

    def test_headers_without_a_customer(self):
        """On an exempt route, neither an unknown key nor a name is forwarded."""
        headers = [*key_headers("unknown"), (NAMES.customer, b"alder")]
        status, heads = self._send("/free/1", headers)
        self.assertEqual(status, 200)
        self.assertNotIn(NAMES.customer, heads[0])
        self.assertNotIn(NAMES.key, heads[0])

    def test_refusals(self):
        """A wrong key is refused with 401 and not sent; an unknown path with 404."""
        self.assertEqual(self._send("/orders/1", key_headers("no")), (401, []))
        self.assertEqual(self._send("/orders/1", key_headers()), (401, []))
        self.assertEqual(self._send("/other/1", key_headers(KEY)), (404, []))

    def test_priority(self):
        """The customer's priority replaces the route's; 0 is one as well."""
        for priority, expected in ((3, b"3"), (0, b"0"), (None, b"0")):
            state = build_direct_state([])
            state.apply_document(
                build_customer_document(customer_value(priority=priority))
            )
            scope = {
                "method": "GET",
                "raw_path": b"/orders/1",
                "query_string": b"",
                "headers": key_headers(KEY),
            }
            routed = RouteApp(state, create_rng())._route_request(scope, b"", 0.0)
            self.assertEqual(routed.route.priority, int(expected))
            self.assertEqual(routed.customer.name, "alder")


class IdentityTest(unittest.TestCase):
    """The digest by which a request that ends servers is recognised."""

    # Guards against one customer's request that is blocked because of another's.
    def test_customers_differ(self):
        """The same request of two customers, or of none, has different digests."""
        plain = build_request(KEYED)
        named = [plain._replace(customer=Customer(name)) for name in ("alder", "birch")]

        async def compute_all() -> list[str]:
            return [
                await RequestIdentity(request, NAMES, b"k").compute()
                for request in (plain, *named)
            ]

        self.assertEqual(len(set(anyio.run(compute_all))), 3)


class DocumentTest(unittest.TestCase):
    """Customers that make a document invalid."""

    # Guards against keys in the answer to an operator and in the keepers' logs.
    def test_errors_without_keys(self):
        """The message names the field and contains no key."""
        cases = (
            ({"keys": [123456]}, "keys"),
            ({"keys": KEY}, "keys"),
            ({"keys": [KEY, ""]}, "keys"),
            ({"keys": [KEY * 1000]}, "keys"),
            ({"priority": KEY}, "priority"),
            ({"priority": -1}, "priority"),
            ({"rate_per_s": -1}, "rate_per_s"),
            ({"unit": KEY}, "unit"),
            ({"name": ""}, "name"),
            ({"name": "a\r\nb"}, "name"),
            ({"name": " a"}, "name"),
        )
        for change, field in cases:
            with self.subTest(change=change):
                document = document_bytes(
                    routes=CUSTOMER_ROUTES, customers=[customer_value(**change)]
                )
                fault = parse_document(document).failure()
                self.assertEqual(fault.code, Code.BAD_VALUE)
                self.assertIn(field, fault.message)
                self.assertNotIn(KEY, fault.message)
                self.assertNotIn("123456", fault.message)

    def test_shared_key(self):
        """Two customers with one key make a document invalid."""
        customers = [customer_value(), customer_value(name="birch")]
        fault = parse_document(document_bytes(customers=customers)).failure()
        self.assertIn("keys", fault.message)
        self.assertNotIn(KEY, fault.message)
