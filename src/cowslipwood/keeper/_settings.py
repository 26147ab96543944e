"""The settings of a keeper and what is allowed in each."""

from typing import NamedTuple

from ..kernel.registry import PluginKind, plugin_names
from ..kernel.settings import Check, address, one_of, peer_list, within
from . import (
    _planner,  # noqa: F401  registers the placement policies
    _platform,  # noqa: F401  registers the platform dialects
)
from ._members import parse_peers

__all__ = ["KeeperSettings", "keeper_checks"]


class KeeperSettings(NamedTuple):
    """A host with a disk: the replicated log, the catalogue and placement.

    Parameters
    ----------
    keeper_id : str
        Name of this keeper.
    data : str
        Folder for the log and snapshots.
    listen : str
        ip:port for the system's own connections and for operators.
    http_listen : str
        ip:port for /healthz, /readyz and /metrics.
    peers : str
        The initial members as name=ip:port with commas between, this keeper
        included; empty for a keeper that stands alone. A keeper that replaces
        another is given the members that there are.
    join : str
        ip:port of keepers, with commas between, whose log this keeper asks to
        join while it holds none; it then begins no log without `peers`.
    grows : bool
        Whether a keeper that joins adds to the members; otherwise it takes the place
        of one that is lost.
    n_losses : int
        Keepers that may be lost with their disks at once. A log that has just begun
        takes no edit before twice as many and one more keepers have joined it.
    zone : str
        Availability zone of this host.
    snapshot_entries : int
        Log entries between two snapshots.
    tick_ms : int
        Milliseconds between two rounds of telling agents and entries.
    plan_ms : int
        Milliseconds between two placement rounds.
    placement : str
        Placement policy: marginal_gain, static or on_demand_lru.
    move_weight : float
        Requests in flight that one move must bring within their limits; higher
        spends fewer moves.
    max_pending_loads : int
        Loads that may be under way at once.
    dead_after_ms : int
        Milliseconds of silence after which a server's models go elsewhere.
    min_residence_ms : int
        Milliseconds for which a placed model is not released for another.
    loads_per_s : float
        Loads that the weight store allows per second.
    max_loads_at_once : int
        Loads that the weight store allows at once.
    permit_valid_ms : int
        Milliseconds within which a permitted load has to begin.
    platform_dialect : str
        Dialect of the platform's list of hosts.
    platform_url : str
        http://ip:port of the platform's list; empty for none.
    claim_keep_ms : int
        Milliseconds that the claim of an Idempotency-Key lasts.
    claims_max : int
        Claims held at once; more are refused.
    claim_answer_bytes : int
        Largest answer kept for resends, in bytes.
    claim_answers_bytes : int
        All answers kept for resends, in bytes; the oldest go first.
    cluster_token : str
        Token of the system's own connections, or @file.
    operator_token : str
        Token that operators' edits need, or @file.
    allow_no_token : bool
        Run without tokens; on loopback only.
    """

    keeper_id: str
    data: str
    listen: str = "127.0.0.1:8100"
    http_listen: str = "127.0.0.1:8101"
    peers: str = ""
    join: str = ""
    grows: bool = False
    n_losses: int = 0
    zone: str = "zone-1"
    snapshot_entries: int = 10_000
    tick_ms: int = 50
    plan_ms: int = 200
    placement: str = "marginal_gain"
    move_weight: float = 0.5
    max_pending_loads: int = 16
    dead_after_ms: int = 5_000
    min_residence_ms: int = 10_000
    loads_per_s: float = 1.0
    max_loads_at_once: int = 2
    permit_valid_ms: int = 2_000
    platform_dialect: str = "http_hosts"
    platform_url: str = ""
    claim_keep_ms: int = 43_200_000
    claims_max: int = 50_000
    claim_answer_bytes: int = 16_384
    claim_answers_bytes: int = 16_777_216
    cluster_token: str = ""
    operator_token: str = ""
    allow_no_token: bool = False


def _are_peers(text: str) -> bool:
    try:
        parse_peers(text)
    except ValueError:
        return False
    return True


keeper_checks = {
    "keeper_id": Check("a name", bool),
    "data": Check("a folder", bool),
    "listen": address(),
    "http_listen": address(),
    "peers": Check("name=ip:port, with commas between several", _are_peers),
    "join": Check(
        "ip:port, with commas between several, or empty",
        lambda text: not text or peer_list().is_allowed(text),
    ),
    "n_losses": within(0, 4),
    "snapshot_entries": within(10, 1_000_000),
    "tick_ms": within(5, 5_000),
    "plan_ms": within(10, 60_000),
    "placement": one_of(*plugin_names(PluginKind.PLACEMENT_POLICY)),
    "move_weight": within(0, 1_000),
    "max_pending_loads": within(1, 10_000),
    "dead_after_ms": within(2_000, 3_600_000),
    "min_residence_ms": within(0, 3_600_000),
    "loads_per_s": within(0.01, 10_000),
    "max_loads_at_once": within(1, 10_000),
    "permit_valid_ms": within(100, 600_000),
    "platform_dialect": one_of(*plugin_names(PluginKind.PLATFORM_DIALECT)),
    "platform_url": Check(
        "http://ip:port, or empty", lambda url: not url or url.startswith("http://")
    ),
    "claim_keep_ms": within(1_000, 30 * 86_400_000),
    "claims_max": within(1, 10_000_000),
    "claim_answer_bytes": within(0, 1_048_576),
    "claim_answers_bytes": within(0, 2**32),
}
