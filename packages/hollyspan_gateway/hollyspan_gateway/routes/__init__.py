"""Routes and limits that the operators configure."""

from .limits import Limits
from .route import Route
from .route import RouteKind
from .table import choose_service
from .table import RouteTable

__all__ = ["Limits", "Route", "RouteKind", "RouteTable", "choose_service"]
