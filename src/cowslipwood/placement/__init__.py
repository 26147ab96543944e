"""Plans which backend server holds which models."""

from . import _baselines, _marginal_gain  # noqa: F401
from ._demand import DemandEstimator, offered_in_flight
from ._types import (
    ModelKey,
    PlacementRequest,
    Plan,
    ServerState,
    ServerStatus,
    as_desired,
)

__all__ = [
    "DemandEstimator",
    "ModelKey",
    "PlacementRequest",
    "Plan",
    "ServerState",
    "ServerStatus",
    "as_desired",
    "offered_in_flight",
]
