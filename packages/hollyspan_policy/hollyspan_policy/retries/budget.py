"""Retry budget in proportion to first attempts."""

__all__ = ["RetryBudget"]

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Budget that allows retries in proportion to new requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per new request.
    """

    __slots__ = ("ratio", "tokens")

    def __init__(self, *, ratio):
        self.ratio = ratio
        self.tokens = 1.0

    def deposit(self):
        """Add the share of one new request to the budget."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.ratio)

    def withdraw(self):
        """Withdraw one retry from the budget.

        Returns
        -------
        bool
            False when the budget is exhausted.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
