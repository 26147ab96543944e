"""Tests of the placement policies: invariants for any catalogue and any demand."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.catalogue import parse_entry
from cowslipwood.kernel.registry import PluginKind, lookup, plugin_names
from cowslipwood.placement import (
    DemandEstimator,
    ModelKey,
    PlacementRequest,
    ServerState,
    ServerStatus,
)

from .builders import adapter_value, demand_report, model_value

ZONES = ("capital", "banda", "termas")
MAX_N_ROUNDS = 60
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def catalogue(*values):
    """Return catalogue entries by name."""
    entries = [parse_entry(value).unwrap() for value in values]
    return {entry.name: entry for entry in entries}


def server(number=1, capacity_bytes=100, **fields):
    """Return a live server without models; `fields` replaces attributes of it."""
    zone = ZONES[number % len(ZONES)]
    state = ServerState(f"s{number}", zone, ServerStatus.LIVE, capacity_bytes, 16, ())
    return state._replace(**fields)


def apply_plan(request, plan, max_n_ready=10_000):
    """Return the request of a later round, after agents carried out a plan.

    `max_n_ready` bounds the models on each server that have become ready since.
    """
    servers = []
    for state in request.servers:
        assigned = plan.desired.get(state.server_id, state.assigned)
        assigned_keys = [ModelKey(model.name, model.version) for model in assigned]
        ready = frozenset(assigned_keys[:max_n_ready]) | (
            state.ready & frozenset(assigned_keys)
        )
        servers.append(
            state._replace(
                assigned=assigned,
                ready=ready,
                past_min_residence=frozenset(key.name for key in ready),
            )
        )
    return request._replace(servers=servers)


def plan_until_stable(policy, request):
    """Plan and apply until the plan is empty; return the last request and plan."""
    for _ in range(MAX_N_ROUNDS):
        plan = policy(request)
        if not plan.desired:
            return request, plan
        request = apply_plan(request, plan)
    raise AssertionError(f"models still move after {MAX_N_ROUNDS} rounds")


def ready_names(request):
    """Return the keys of the models that are ready on any server."""
    return {key for state in request.servers for key in state.ready}


def served_names(request):
    """Return the names that are ready in the catalogue's version on a live server."""
    return {
        key.name
        for state in request.servers
        if state.status is ServerStatus.LIVE
        for key in state.ready
        if key.name in request.entries
        and request.entries[key.name].version == key.version
    }


@st.composite
def requests(draw, max_bytes=60):
    """Generate a catalogue, servers in any state, and demand."""
    n_models = draw(st.integers(1, 6))
    sizes = st.integers(1, max_bytes)
    values = [
        model_value(
            f"m{i}", memory_bytes=draw(sizes), version=draw(st.sampled_from("12"))
        )
        for i in range(n_models)
    ]
    for i in range(draw(st.integers(0, 8))):
        base = f"m{draw(st.integers(0, n_models - 1))}"
        values.append(
            adapter_value(f"a{i}", base, memory_bytes=draw(st.integers(1, 9)))
        )
    servers = [
        server(i, draw(st.integers(30, 120))) for i in range(draw(st.integers(1, 5)))
    ]
    names = [value["name"] for value in values]
    demand = draw(st.dictionaries(st.sampled_from(names), st.floats(0.1, 60)))
    return PlacementRequest(catalogue(*values), servers, demand)


@st.composite
def disturbed_requests(draw):
    """Generate a request amid moves, server failures, edits and changes of demand."""
    request = draw(requests())
    policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
    for _ in range(draw(st.integers(1, 6))):
        request = apply_plan(request, policy(request), draw(st.integers(0, 4)))
        request = _disturb_request(draw, request)
    return request


def _disturb_request(draw, request):
    statuses = st.sampled_from([ServerStatus.LIVE] * 4 + list(ServerStatus))
    servers = [
        state._replace(status=draw(statuses), is_report_current=draw(st.booleans()))
        for state in request.servers
    ]
    entries = dict(request.entries)
    name = draw(st.sampled_from(sorted(entries)))
    entries[name] = entries[name]._replace(version=draw(st.sampled_from("12")))
    demand = dict(request.demand)
    demand[draw(st.sampled_from(sorted(entries)))] = draw(st.floats(0, 90))
    return request._replace(servers=servers, entries=entries, demand=demand)


class TestEveryPolicy(unittest.TestCase):
    """Invariants that hold for each registered policy."""

    def check_policies(self, request):
        """Assert the invariants for one round of each policy."""
        for name in plugin_names(PluginKind.PLACEMENT_POLICY):
            plan = lookup(PluginKind.PLACEMENT_POLICY, name)(request)
            servers_before = {state.server_id: state for state in request.servers}
            for server_id, desired in plan.desired.items():
                self.check_server(servers_before[server_id], desired)
            self.check_last_ready(request, plan)
            self.assertEqual(plan, lookup(PluginKind.PLACEMENT_POLICY, name)(request))

    def check_server(self, state, desired):
        """Assert that added models fit and that adapters are beside their base."""
        added = set(desired) - set(state.assigned)
        assigned_bytes = sum(model.memory_bytes for model in desired)
        if added:
            self.assertLessEqual(assigned_bytes, state.capacity_bytes)
            self.assertIs(state.status, ServerStatus.LIVE)
        names = {model.name for model in desired}
        for model in desired:
            self.assertTrue(not model.base or model.base in names, model)

    def check_last_ready(self, request, plan):
        """Assert that a name with a ready replica keeps one or is given up."""
        assigned_after = {
            state.server_id: set(plan.desired.get(state.server_id, state.assigned))
            for state in request.servers
        }
        for name in request.entries:
            ready_before = self.ready_server_ids(request, name)
            ready_kept = {
                server_id
                for server_id in ready_before
                if any(model.name == name for model in assigned_after[server_id])
            }
            if ready_before and name not in plan.given_up:
                self.assertTrue(ready_kept, name)

    def ready_server_ids(self, request, name):
        """Return the servers where any version of a name is assigned and ready."""
        return {
            state.server_id
            for state in request.servers
            for model in state.assigned
            if model.name == name and ModelKey(name, model.version) in state.ready
        }

    @PROPERTY_SETTINGS
    @given(disturbed_requests())
    def test_each_step_is_safe(self, request):
        """A round exceeds no memory, and keeps bases of adapters and ready replicas."""
        self.check_policies(request)

    @PROPERTY_SETTINGS
    @given(requests(max_bytes=9))
    def test_every_name_is_placed_when_memory_suffices(self, request):
        """When memory suffices, every name becomes ready and none is given up."""
        total_bytes = sum(entry.memory_bytes for entry in request.entries.values())
        large_servers = [
            s._replace(capacity_bytes=2 * total_bytes) for s in request.servers
        ]
        policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
        request, plan = plan_until_stable(
            policy, request._replace(servers=large_servers)
        )
        self.assertEqual(served_names(request), set(request.entries))
        self.assertEqual((plan.unplaced, plan.given_up), ((), ()))

    @PROPERTY_SETTINGS
    @given(requests(), st.sampled_from([0.0, 0.1, 0.5, 3.0]))
    def test_stops_moving_at_constant_demand(self, request, move_weight):
        """At constant demand, the policy stops moving models and starts no others."""
        policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
        request, _ = plan_until_stable(
            policy, request._replace(move_weight=move_weight)
        )
        self.assertEqual(policy(request).desired, {})

    @PROPERTY_SETTINGS
    @given(requests(), st.integers(1, 5))
    def test_loads_are_bounded(self, request, max_pending_loads):
        """One round starts at most `max_pending_loads` loads, and one base besides."""
        for name in plugin_names(PluginKind.PLACEMENT_POLICY):
            request = request._replace(max_pending_loads=max_pending_loads)
            plan = lookup(PluginKind.PLACEMENT_POLICY, name)(request)
            n_loads = sum(len(desired) for desired in plan.desired.values())
            self.assertLessEqual(n_loads, max_pending_loads + 1)


class TestMarginalGain(unittest.TestCase):
    """Decisions of the default policy."""

    def setUp(self):
        self.policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")

    def plan_until_stable(self, request):
        return plan_until_stable(self.policy, request)[0]

    def replica_ids(self, request, name):
        return {
            state.server_id
            for state in request.servers
            if any(model.name == name for model in state.assigned)
        }

    def replica_zones(self, request, name):
        replica_ids = self.replica_ids(request, name)
        return {
            state.zone for state in request.servers if state.server_id in replica_ids
        }

    def test_hot_model_gets_replicas_in_other_zones(self):
        """A model whose demand exceeds one server's knee gets replicas in two zones."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        servers = [server(i) for i in range(6)]
        request = self.plan_until_stable(
            PlacementRequest(entries, servers, {"m1": 30.0})
        )
        self.assertGreaterEqual(len(self.replica_zones(request, "m1")), 2)

    def test_hot_adapter_goes_with_its_base(self):
        """An adapter in demand gets a second replica beside a second base."""
        entries = catalogue(
            model_value("m1", memory_bytes=10), adapter_value("a1", memory_bytes=1)
        )
        servers = [server(i) for i in range(3)]
        request = self.plan_until_stable(
            PlacementRequest(entries, servers, {"a1": 30.0})
        )
        self.assertGreaterEqual(len(self.replica_ids(request, "a1")), 2)
        self.assertLessEqual(
            self.replica_ids(request, "a1"), self.replica_ids(request, "m1")
        )

    def test_higher_move_weight_means_fewer_replicas(self):
        """A model gets fewer replicas with a high move weight than with a low one."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        servers = [server(i) for i in range(6)]
        request = PlacementRequest(entries, servers, {"m1": 30.0})
        n_replicas = [
            len(
                self.replica_ids(
                    self.plan_until_stable(request._replace(move_weight=weight)), "m1"
                )
            )
            for weight in (0.1, 20.0)
        ]
        self.assertGreater(n_replicas[0], n_replicas[1])

    def test_returning_server_causes_no_moves(self):
        """A server that comes back empty causes no moves when there is no demand."""
        values = [model_value(f"m{i}", memory_bytes=20) for i in range(8)]
        servers = [server(i) for i in range(3)]
        request = self.plan_until_stable(PlacementRequest(catalogue(*values), servers))
        request_with_new_server = request._replace(
            servers=[*request.servers, server(9)]
        )
        self.assertEqual(self.policy(request_with_new_server).desired, {})

    def test_leaving_server_is_emptied_only_after_the_copy_is_ready(self):
        """A leaving server keeps its model until it is ready on another server."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        request = self.plan_until_stable(PlacementRequest(entries, [server(1)]))
        leaving_server = request.servers[0]._replace(status=ServerStatus.LEAVING)
        request = request._replace(servers=[leaving_server, server(2)])
        plan = self.policy(request)
        self.assertEqual(set(plan.desired), {"s2"})
        request_loading = apply_plan(request, plan, max_n_ready=0)
        self.assertEqual(self.policy(request_loading).desired, {})
        request_ready = apply_plan(request, plan)
        self.assertEqual(self.policy(request_ready).desired, {"s1": ()})

    def test_unconfirmed_report_releases_nothing(self):
        """A model in a report on an older assignment does not count as ready."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        request = self.plan_until_stable(PlacementRequest(entries, [server(1)]))
        leaving_server = request.servers[0]._replace(status=ServerStatus.LEAVING)
        request = request._replace(servers=[leaving_server, server(2)])
        request = apply_plan(request, self.policy(request))
        outdated = request.servers[1]._replace(is_report_current=False)
        request = request._replace(servers=[request.servers[0], outdated])
        self.assertEqual(self.policy(request).desired, {})

    def test_new_version_is_ready_before_the_old_goes(self):
        """When memory suffices, both versions are kept until the new one is ready."""
        entries = catalogue(model_value("m1", memory_bytes=40))
        request = self.plan_until_stable(PlacementRequest(entries, [server(1)]))
        edited_entries = catalogue(model_value("m1", memory_bytes=40, version="2"))
        plan = self.policy(request._replace(entries=edited_entries))
        versions = [model.version for model in plan.desired["s1"]]
        self.assertEqual(versions, ["1", "2"])
        self.assertEqual(plan.given_up, ())

    def test_new_version_replaces_the_old_when_both_do_not_fit(self):
        """When both versions do not fit, the old one is released and given up."""
        entries = catalogue(model_value("m1", memory_bytes=60))
        request = self.plan_until_stable(PlacementRequest(entries, [server(1)]))
        edited_entries = catalogue(model_value("m1", memory_bytes=60, version="2"))
        plan = self.policy(request._replace(entries=edited_entries))
        versions = [model.version for model in plan.desired["s1"]]
        self.assertEqual((versions, plan.given_up), (["2"], ("m1",)))

    def test_lost_sole_replicas_are_placed_by_demand(self):
        """Names that only a lost server held are placed again, highest demand first."""
        values = [model_value(f"m{i}", memory_bytes=20) for i in range(3)]
        request = PlacementRequest(
            catalogue(*values), [server(2)], {"m2": 9.0, "m0": 3.0}, max_pending_loads=1
        )
        plan = self.policy(request)
        self.assertEqual([model.name for model in plan.desired["s2"]], ["m2"])

    def test_unplaced_name_in_demand_replaces_one_in_less_demand(self):
        """When memory is short, demand decides, and a long wait raises its weight."""
        values = [model_value(f"m{i}", memory_bytes=50) for i in range(3)]
        request = self.plan_until_stable(
            PlacementRequest(catalogue(*values), [server(1)], {"m0": 5.0, "m1": 4.0})
        )
        self.assertEqual(self.policy(request).unplaced, ("m2",))
        request_in_demand = request._replace(demand={"m0": 5.0, "m1": 4.0, "m2": 0.2})
        self.assertEqual(self.policy(request_in_demand).given_up, ())
        request_after_wait = request_in_demand._replace(unserved_s={"m2": 90.0})
        self.assertEqual(self.policy(request_after_wait).given_up, ("m1",))

    def test_model_is_moved_to_join_free_memory(self):
        """A model that fits only after another one is moved is placed, without a gap.

        The other model is copied before it is released, so both stay served.
        """
        small_values = [model_value(f"m{i}", memory_bytes=30) for i in range(2)]
        request = self.plan_until_stable(
            PlacementRequest(catalogue(*small_values), [server(1, 60), server(2, 60)])
        )
        self.assertEqual(
            len(self.replica_ids(request, "m0") | self.replica_ids(request, "m1")), 2
        )
        values = [*small_values, model_value("m9", memory_bytes=60)]
        request = self.plan_until_stable(request._replace(entries=catalogue(*values)))
        self.assertEqual(served_names(request), {"m0", "m1", "m9"})


class TestDemandEstimator(unittest.TestCase):
    """The smoothed estimate of demand."""

    def test_rises_fast_and_falls_slowly(self):
        """A burst of 10 s counts almost in full, and a pause of 10 s hardly counts."""
        demand = DemandEstimator()
        demand.update(0.0)
        for now_ms in range(500, 10_500, 500):
            demand.record_report(demand_report(m1=(5.0, 20.0, 0.0)), now_ms)
            estimate_after_rise = demand.update(now_ms)["m1"]
        for now_ms in range(10_500, 20_500, 500):
            demand.record_report(demand_report(), now_ms)
            estimate_after_fall = demand.update(now_ms)["m1"]
        self.assertGreater(estimate_after_rise, 19.0)
        self.assertGreater(estimate_after_fall, estimate_after_rise * 0.8)

    def test_missed_requests_count_as_demand(self):
        """Requests for a model without replicas count by their arrival rate."""
        demand = DemandEstimator()
        demand.record_report(demand_report(m1=(5.0, 0.0, 1.0)), 0.0)
        self.assertEqual(demand.update(0.0), {"m1": 5.0})
        self.assertEqual(demand.update_unserved_s({"m1", "m2"}, 0.0), {"m1": 0.0})
        self.assertEqual(demand.update_unserved_s({"m1"}, 4_000.0), {"m1": 4.0})
