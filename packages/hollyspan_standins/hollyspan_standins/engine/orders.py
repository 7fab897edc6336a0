"""Orders to an engine, with or without a check of the fencing number."""

from ..common import AnswerError

__all__ = ["Orders"]

KINDS = ("load_model", "load_adapter", "set_role", "drain")


class Orders:
    """Orders carried out so far.

    Parameters
    ----------
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(self, *, checks_fencing):
        self.checks_fencing = checks_fencing
        self.highest = -1
        self.role = None
        self.adapters = []

    def check(self, order):
        """Refuse an order that cannot be carried out."""
        if order.get("kind") not in KINDS:
            raise AnswerError(
                status=400, code="unknown_order", message=str(order)
            )
        fencing = int(order.get("fencing") or 0)
        if self.checks_fencing and fencing < self.highest:
            raise AnswerError(
                status=409,
                code="stale_fencing",
                message=f"fencing {fencing} is below {self.highest}",
            )
        self.highest = max(self.highest, fencing)
