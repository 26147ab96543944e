"""Documents that come into force while a leader plans."""

import unittest
from collections.abc import Callable, Sequence
from typing import Any
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.keeper.engines._fleet import Fleet
from cowslipwood.keeper.engines._order_sender import OrderSender
from cowslipwood.keeper.engines._plan import plan_loads
from cowslipwood.keeper.engines._step import Step
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.messages import HolderRequest, Refused
from cowslipwood.routes import ModelSpec, RouteDocument, ServiceSpec

from .document_change_builders import (
    ANY_NUMBERS,
    SOUND_NUMBERS,
    Arrival,
    Change,
    ChangingFleet,
    document_changes,
    engine_spec_value,
    engines_document_value,
    model_spec_value,
    run_passes,
)
from .engine_builders import SPEC, FakeEngine, FakeFleet

# Changes in one sequence.
MAX_CHANGES = 5
PROPERTY_SETTINGS = settings(max_examples=150, deadline=None, derandomize=True)


def run_changes(changes: Sequence[Change]) -> tuple[ChangingFleet, list[dict]]:
    """Let changes come into force one after the other; return fleet and error logs."""

    async def main() -> ChangingFleet:
        fleet = ChangingFleet()
        async with run_passes(fleet) as runner:
            for change in changes:
                await runner.run(change)
        return fleet

    with capture_logs() as logs:
        fleet = anyio.run(main)
    return fleet, [line for line in logs if line["log_level"] == "error"]


class ChangedDocumentTest(unittest.TestCase):
    """Rounds of planning whose records are of an earlier or a later document."""

    def check(self, changes: Sequence[Change]) -> ChangingFleet:
        """Check that planning neither fails nor orders what no document has."""
        fleet, errors = run_changes(changes)
        self.assertEqual(errors, [])
        self.assertEqual(fleet.foreign_loads, [])
        return fleet

    # The leader ended when a service that was entered without models got its first.
    def test_first_model_of_a_service(self):
        """A model that comes into force between two reads of the list is loaded."""
        empty = engines_document_value(a=engine_spec_value())
        filled = engines_document_value(a=engine_spec_value(model_spec_value()))
        fleet = self.check(
            [Change(empty, Arrival.BEFORE_LIST), Change(filled, Arrival.AFTER_LIST)]
        )
        self.assertEqual([order.model for order in fleet.orders], ["m0"])

    # An engine without models passed for a plain server, which gives no reports.
    def test_views_of_engines_without_models(self):
        """Servers are engines by the document, whatever they hold."""
        document = engines_document_value(a=engine_spec_value(), b=None)
        services = ("a", "a", "b")
        fleet = self.check([Change(document, Arrival.BEFORE_LIST, services)])
        kinds = [view.kind for view in fleet.views.values()]
        self.assertEqual(kinds, ["engine", "engine", "service"])

    # A load was ordered for a model that the document had lost during the round.
    def test_model_removed_during_a_round(self):
        """A model that a document loses while a round runs is no longer loaded."""
        names = ("m0", "m1", "m2")
        engine = engine_spec_value(*map(model_spec_value, names), loads_per_s=50.0)
        for n_turns in range(10):
            with self.subTest(n_turns=n_turns):
                self.check(
                    [
                        Change(engines_document_value(a=engine), Arrival.BEFORE_LIST),
                        Change(
                            engines_document_value(a=engine_spec_value()),
                            Arrival.DURING_ROUND,
                            n_turns=n_turns,
                        ),
                    ]
                )

    # Loads of models that a newer document no longer has were ordered.
    @given(st.lists(document_changes(SOUND_NUMBERS), min_size=2, max_size=MAX_CHANGES))
    @PROPERTY_SETTINGS
    def test_any_sequence(self, changes):
        """Planning goes on over any changes, and loads only what is in force."""
        self.check(changes)

    # The leader, and each next one, ended by a number that the document may contain.
    @given(st.lists(document_changes(ANY_NUMBERS), min_size=2, max_size=MAX_CHANGES))
    @PROPERTY_SETTINGS
    def test_any_numbers(self, changes):
        """Planning goes on with any numbers that a keeper has acknowledged."""
        self.check(changes)

    # Two engines with 0 slots and eight requests for their model ended the leader.
    def test_no_slots(self):
        """Engines without slots count as engines with one."""
        document = engines_document_value(
            a=engine_spec_value(model_spec_value(), n_slots=0)
        )
        changes = [Change(document, Arrival.BEFORE_LIST, n_requests=(40, 0, 0))] * 4
        self.assertTrue(self.check(changes).orders)


class ConfinedFailureTest(unittest.TestCase):
    """Unforeseen exceptions in the control of one service or one engine."""

    def run_with(self, name: str, fail: Callable[..., Any]) -> None:
        """Check that service b gets its model although `name` fails for service a."""
        document = engines_document_value(
            a=engine_spec_value(model_spec_value("m0"), loads_per_s=50.0),
            b=engine_spec_value(model_spec_value("m1"), loads_per_s=50.0),
        )
        services = ("a", "a", "b")
        changes = [Change(document, Arrival.BEFORE_LIST, services)] * 3
        with mock.patch(f"cowslipwood.keeper.engines.{name}", fail):
            fleet, errors = run_changes(changes)
        self.assertIn("m1", fleet.engines["s2"].held)
        self.assertNotIn("m0", fleet.engines["s0"].held)
        self.assertEqual({line["event"] for line in errors}, {"engine_control_failed"})
        text, _ = fleet.metrics.render_text()
        self.assertIn(b"cowslip_keeper_engine_control_failures_total", text)

    # One service whose planning failed ended the leader, and each next one.
    def test_planning(self):
        """The other services are planned on."""

        def fail(records, models, *args: Any, **options: Any) -> Any:
            if models[0].name == "m0":
                raise RuntimeError("planning")
            return plan_loads(records, models, *args, **options)

        self.run_with("_planning.plan_loads", fail)

    def test_report(self):
        """The other engines get orders."""
        read_report = Fleet.read_report

        async def fail(fleet: Fleet, record: EngineRecord) -> None:
            if record.server.service == "a":
                raise RuntimeError("report")
            await read_report(fleet, record)

        self.run_with("_fleet.Fleet.read_report", fail)

    def test_order(self):
        """The other engines get orders."""
        execute_model_step = OrderSender.execute_model_step

        async def fail(sender: OrderSender, spec: ModelSpec, step: Step) -> None:
            if spec.name == "m0":
                raise RuntimeError("order")
            await execute_model_step(sender, spec, step)

        self.run_with("_order_sender.OrderSender.execute_model_step", fail)


class LookupTest(unittest.TestCase):
    """Lookups that wait for a load."""

    # Callers waited for the load of a model that the document had lost.
    def test_model_removed_during_a_lookup(self):
        """A lookup ends at once when the document no longer has its model."""
        engine = FakeEngine("s0", {})
        engine.defers_orders = True
        fleet = FakeFleet([engine])
        fleet.document = RouteDocument(1, (), (ServiceSpec("llm", engine=SPEC),))

        async def main() -> list:
            replies = []
            controller = fleet.make_controller()

            async def look_up() -> None:
                request = HolderRequest("llm", "m0", "", "")
                replies.append(await controller.find_holder(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(controller.run)
                await anyio.sleep(0.1)
                tasks.start_soon(look_up)
                while not fleet.orders:
                    await anyio.sleep(0.01)
                fleet.document = RouteDocument(2, (), (ServiceSpec("llm"),))
                # Less than the time for which a lookup may wait.
                with anyio.move_on_after(2):
                    while not replies:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            return replies

        with capture_logs():
            replies = anyio.run(main)
        self.assertEqual(len(replies), 1)
        self.assertIsInstance(replies[0], Refused)
        self.assertEqual(replies[0].code, Code.NO_SUCH_MODEL.value)
