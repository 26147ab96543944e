"""Plans which models each backend server holds."""

from . import _baselines, _marginal_gain  # noqa: F401
from ._demand import DemandEstimator, offered_in_flight
from ._types import (
    ModelKey,
    PlacementRequest,
    Plan,
    ServerState,
    ServerStatus,
    desired_model,
)

__all__ = [
    "DemandEstimator",
    "ModelKey",
    "PlacementRequest",
    "Plan",
    "ServerState",
    "ServerStatus",
    "desired_model",
    "offered_in_flight",
]
