"""Placement policies: what no catalogue and no demand may bring about."""

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
MAX_ROUNDS = 60
CHECKED = settings(derandomize=True, deadline=None, max_examples=150)


def catalogue(*values):
    """Return catalogue entries by name."""
    entries = [parse_entry(value).unwrap() for value in values]
    return {entry.name: entry for entry in entries}


def server(number=1, capacity_bytes=100, **fields):
    """Return a live server without models."""
    zone = ZONES[number % len(ZONES)]
    state = ServerState(f"s{number}", zone, ServerStatus.LIVE, capacity_bytes, 16, ())
    return state._replace(**fields)


def carried_out(request, plan, n_ready=10_000):
    """Return the request of a later round, after agents did what was planned."""
    servers = []
    for state in request.servers:
        assigned = plan.desired.get(state.server_id, state.assigned)
        keys = [ModelKey(item.name, item.version) for item in assigned]
        ready = frozenset(keys[:n_ready]) | (state.ready & frozenset(keys))
        servers.append(
            state._replace(
                assigned=assigned,
                ready=ready,
                past_min_residence=frozenset(key.name for key in ready),
            )
        )
    return request._replace(servers=servers)


def at_rest(policy, request):
    """Plan and carry out until nothing moves; return the last request."""
    for _ in range(MAX_ROUNDS):
        plan = policy(request)
        if not plan.desired:
            return request, plan
        request = carried_out(request, plan)
    raise AssertionError(f"still moving after {MAX_ROUNDS} rounds")


def ready_names(request):
    """Return the names and versions that some server has ready."""
    return {key for state in request.servers for key in state.ready}


def served(request):
    """Return the names ready in the catalogue's version on a server that stays."""
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
def histories(draw):
    """Generate a request in the middle of its life: moves, stops, edits under way."""
    request = draw(requests())
    policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
    for _ in range(draw(st.integers(1, 6))):
        request = carried_out(request, policy(request), draw(st.integers(0, 4)))
        request = _disturbed(draw, request)
    return request


def _disturbed(draw, request):
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
    """Laws that hold for each registered policy."""

    def check(self, request):
        """Assert the laws for one round of each policy."""
        for name in plugin_names(PluginKind.PLACEMENT_POLICY):
            plan = lookup(PluginKind.PLACEMENT_POLICY, name)(request)
            before = {state.server_id: state for state in request.servers}
            for server_id, desired in plan.desired.items():
                self.check_server(before[server_id], desired)
            self.check_last_ready(request, plan)
            self.assertEqual(plan, lookup(PluginKind.PLACEMENT_POLICY, name)(request))

    def check_server(self, state, desired):
        """Assert that additions fit and that adapters stand beside their base."""
        added = set(desired) - set(state.assigned)
        used_bytes = sum(item.memory_bytes for item in desired)
        if added:
            self.assertLessEqual(used_bytes, state.capacity_bytes)
            self.assertIs(state.status, ServerStatus.LIVE)
        names = {item.name for item in desired}
        for item in desired:
            self.assertTrue(not item.base or item.base in names, item)

    def check_last_ready(self, request, plan):
        """Assert that a name with a ready replica keeps one, or is given up."""
        after = {
            state.server_id: set(plan.desired.get(state.server_id, state.assigned))
            for state in request.servers
        }
        for name in request.entries:
            was = self.ready_at(request, name)
            kept = {
                server_id
                for server_id in was
                if any(item.name == name for item in after[server_id])
            }
            if was and name not in plan.given_up:
                self.assertTrue(kept, name)

    def ready_at(self, request, name):
        """Return the servers where any version of a name is assigned and ready."""
        return {
            state.server_id
            for state in request.servers
            for item in state.assigned
            if item.name == name and ModelKey(name, item.version) in state.ready
        }

    @CHECKED
    @given(histories())
    def test_each_step_is_safe(self, request):
        """No step exceeds memory, parts an adapter or drops the last ready replica."""
        self.check(request)

    @CHECKED
    @given(requests(max_bytes=9))
    def test_everything_placed_when_memory_is_ample(self, request):
        """With room to spare every name becomes ready, and none is given up."""
        total = sum(entry.memory_bytes for entry in request.entries.values())
        ample = [s._replace(capacity_bytes=2 * total) for s in request.servers]
        policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
        request, plan = at_rest(policy, request._replace(servers=ample))
        self.assertEqual(served(request), set(request.entries))
        self.assertEqual((plan.unplaced, plan.given_up), ((), ()))

    @CHECKED
    @given(requests(), st.sampled_from([0.0, 0.1, 0.5, 3.0]))
    def test_comes_to_rest(self, request, move_weight):
        """With the same demand a policy stops moving, and stays so."""
        policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
        request, _ = at_rest(policy, request._replace(move_weight=move_weight))
        self.assertEqual(policy(request).desired, {})

    @CHECKED
    @given(requests(), st.integers(1, 5))
    def test_bounded_loads(self, request, max_pending_loads):
        """One round starts no more loads than may be under way, base included."""
        for name in plugin_names(PluginKind.PLACEMENT_POLICY):
            request = request._replace(max_pending_loads=max_pending_loads)
            plan = lookup(PluginKind.PLACEMENT_POLICY, name)(request)
            n_loads = sum(len(desired) for desired in plan.desired.values())
            self.assertLessEqual(n_loads, max_pending_loads + 1)


class TestMarginalGain(unittest.TestCase):
    """The main policy's decisions."""

    def setUp(self):
        self.policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")

    def settle(self, request):
        return at_rest(self.policy, request)[0]

    def homes(self, request, name):
        return {
            state.server_id
            for state in request.servers
            if any(item.name == name for item in state.assigned)
        }

    def zones(self, request, name):
        homes = self.homes(request, name)
        return {state.zone for state in request.servers if state.server_id in homes}

    def test_hot_model_gets_replicas_in_other_zones(self):
        """Demand over one server's knee spreads a model over zones."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        servers = [server(i) for i in range(6)]
        request = self.settle(PlacementRequest(entries, servers, {"m1": 30.0}))
        self.assertGreaterEqual(len(self.zones(request, "m1")), 2)

    def test_hot_adapter_goes_with_its_base(self):
        """An adapter in demand gets a second replica beside a second base."""
        entries = catalogue(
            model_value("m1", memory_bytes=10), adapter_value("a1", memory_bytes=1)
        )
        servers = [server(i) for i in range(3)]
        request = self.settle(PlacementRequest(entries, servers, {"a1": 30.0}))
        self.assertGreaterEqual(len(self.homes(request, "a1")), 2)
        self.assertLessEqual(self.homes(request, "a1"), self.homes(request, "m1"))

    def test_weight_on_moves_saves_moves(self):
        """A high weight on moves leaves a model with fewer replicas than a low one."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        servers = [server(i) for i in range(6)]
        request = PlacementRequest(entries, servers, {"m1": 30.0})
        n_homes = [
            len(self.homes(self.settle(request._replace(move_weight=weight)), "m1"))
            for weight in (0.1, 20.0)
        ]
        self.assertGreater(n_homes[0], n_homes[1])

    def test_returning_server_causes_no_moves(self):
        """A server that comes back empty changes nothing in calm."""
        values = [model_value(f"m{i}", memory_bytes=20) for i in range(8)]
        servers = [server(i) for i in range(3)]
        request = self.settle(PlacementRequest(catalogue(*values), servers))
        back = request._replace(servers=[*request.servers, server(9)])
        self.assertEqual(self.policy(back).desired, {})

    def test_leaving_server_is_emptied_only_after_the_copy_is_ready(self):
        """A leaving server keeps its model until it is ready elsewhere."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        request = self.settle(PlacementRequest(entries, [server(1)]))
        leaving = request.servers[0]._replace(status=ServerStatus.LEAVING)
        request = request._replace(servers=[leaving, server(2)])
        plan = self.policy(request)
        self.assertEqual(set(plan.desired), {"s2"})
        loading = carried_out(request, plan, n_ready=0)
        self.assertEqual(self.policy(loading).desired, {})
        ready = carried_out(request, plan)
        self.assertEqual(self.policy(ready).desired, {"s1": ()})

    def test_unconfirmed_report_releases_nothing(self):
        """A report on an older assignment does not count as ready."""
        entries = catalogue(model_value("m1", memory_bytes=10))
        request = self.settle(PlacementRequest(entries, [server(1)]))
        leaving = request.servers[0]._replace(status=ServerStatus.LEAVING)
        request = request._replace(servers=[leaving, server(2)])
        request = carried_out(request, self.policy(request))
        stale = request.servers[1]._replace(is_report_current=False)
        request = request._replace(servers=[request.servers[0], stale])
        self.assertEqual(self.policy(request).desired, {})

    def test_new_version_is_ready_before_the_old_goes(self):
        """Where memory allows, both versions are held until the new is ready."""
        entries = catalogue(model_value("m1", memory_bytes=40))
        request = self.settle(PlacementRequest(entries, [server(1)]))
        edited = catalogue(model_value("m1", memory_bytes=40, version="2"))
        plan = self.policy(request._replace(entries=edited))
        versions = [item.version for item in plan.desired["s1"]]
        self.assertEqual(versions, ["1", "2"])
        self.assertEqual(plan.given_up, ())

    def test_new_version_takes_the_place_when_both_fit_nowhere(self):
        """Where no memory allows both, the old version goes first and is counted."""
        entries = catalogue(model_value("m1", memory_bytes=60))
        request = self.settle(PlacementRequest(entries, [server(1)]))
        edited = catalogue(model_value("m1", memory_bytes=60, version="2"))
        plan = self.policy(request._replace(entries=edited))
        versions = [item.version for item in plan.desired["s1"]]
        self.assertEqual((versions, plan.given_up), (["2"], ("m1",)))

    def test_dead_servers_sole_replica_is_placed_elsewhere(self):
        """What a lost server alone held goes elsewhere, most demanded first."""
        values = [model_value(f"m{i}", memory_bytes=20) for i in range(3)]
        request = PlacementRequest(
            catalogue(*values), [server(2)], {"m2": 9.0, "m0": 3.0}, max_pending_loads=1
        )
        plan = self.policy(request)
        self.assertEqual([item.name for item in plan.desired["s2"]], ["m2"])

    def test_unplaced_name_in_demand_takes_the_place_of_a_cold_one(self):
        """With a catalogue over memory, demand decides, also after a long wait."""
        values = [model_value(f"m{i}", memory_bytes=50) for i in range(3)]
        request = self.settle(
            PlacementRequest(catalogue(*values), [server(1)], {"m0": 5.0, "m1": 4.0})
        )
        self.assertEqual(self.policy(request).unplaced, ("m2",))
        called = request._replace(demand={"m0": 5.0, "m1": 4.0, "m2": 0.2})
        self.assertEqual(self.policy(called).given_up, ())
        waited = called._replace(unserved_s={"m2": 90.0})
        self.assertEqual(self.policy(waited).given_up, ("m1",))

    def test_fragmented_memory_is_joined(self):
        """A model that fits only after another moves gets its place, with no gap."""
        small = [model_value(f"m{i}", memory_bytes=30) for i in range(2)]
        request = self.settle(
            PlacementRequest(catalogue(*small), [server(1, 60), server(2, 60)])
        )
        self.assertEqual(len(self.homes(request, "m0") | self.homes(request, "m1")), 2)
        values = [*small, model_value("m9", memory_bytes=60)]
        request = self.settle(request._replace(entries=catalogue(*values)))
        self.assertEqual(served(request), {"m0", "m1", "m9"})


class TestDemandEstimator(unittest.TestCase):
    """The smoothed demand."""

    def test_rises_fast_and_falls_slowly(self):
        """Ten seconds of a burst count almost whole; ten of a pause hardly."""
        demand = DemandEstimator()
        demand.update(0.0)
        for now_ms in range(500, 10_500, 500):
            demand.take_report(demand_report(m1=(5.0, 20.0, 0.0)), now_ms)
            risen = demand.update(now_ms)["m1"]
        for now_ms in range(10_500, 20_500, 500):
            demand.take_report(demand_report(), now_ms)
            fallen = demand.update(now_ms)["m1"]
        self.assertGreater(risen, 19.0)
        self.assertGreater(fallen, risen * 0.8)

    def test_missed_requests_count(self):
        """A model that no server holds is in demand by its arrivals."""
        demand = DemandEstimator()
        demand.take_report(demand_report(m1=(5.0, 0.0, 1.0)), 0.0)
        self.assertEqual(demand.update(0.0), {"m1": 5.0})
        self.assertEqual(demand.unserved_s({"m1", "m2"}, 0.0), {"m1": 0.0})
        self.assertEqual(demand.unserved_s({"m1"}, 4_000.0), {"m1": 4.0})
