"""Retry budget as a share of fresh work."""

__all__ = ["RetryBudget"]

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Allows retries in proportion to fresh requests.

    Parameters
    ----------
    ratio : float
        Retries for each fresh request.
    """

    __slots__ = ("ratio", "saved")

    def __init__(self, *, ratio):
        self.ratio = ratio
        self.saved = 1.0

    def deposit(self):
        """Note one fresh request."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.ratio)

    def withdraw(self):
        """Take one retry from the budget.

        Returns
        -------
        bool
            False when the budget is spent.
        """
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
