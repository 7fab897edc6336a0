"""Orders to an engine, with an optional check of the fencing number."""

from ..common import AnswerError

__all__ = ["Orders"]

KINDS = ("load_model", "load_adapter", "set_role", "drain")


class Orders:
    """State that orders have set.

    Parameters
    ----------
    checks_fencing : bool
        Whether an order with an outdated fencing number is refused.
    """

    def __init__(self, *, checks_fencing):
        self.checks_fencing = checks_fencing
        self.highest_fencing = -1
        self.role = None
        self.adapters = []

    def check(self, order):
        """Raise AnswerError for an order that is unknown or outdated."""
        if order.get("kind") not in KINDS:
            raise AnswerError(
                status=400, code="unknown_order", message=str(order)
            )
        fencing = int(order.get("fencing") or 0)
        if self.checks_fencing and fencing < self.highest_fencing:
            raise AnswerError(
                status=409,
                code="stale_fencing",
                message=f"fencing {fencing} is below {self.highest_fencing}",
            )
        self.highest_fencing = max(self.highest_fencing, fencing)
