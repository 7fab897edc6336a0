"""Violation of an invariant."""

__all__ = ["Violation"]


class Violation:
    """A violation found by a check.

    Parameters
    ----------
    rule : str
        Short name of the violated rule.
    subject : str
        Key, item or upstream concerned.
    detail : str
        Description of the observation.
    """

    __slots__ = ("rule", "subject", "detail")

    def __init__(self, *, rule, subject, detail):
        self.rule = rule
        self.subject = subject
        self.detail = detail

    def __repr__(self):
        return f"<{self.rule} {self.subject}: {self.detail}>"
