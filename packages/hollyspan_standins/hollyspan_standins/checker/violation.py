"""One violation of what must always hold."""

__all__ = ["Violation"]


class Violation:
    """What was found.

    Parameters
    ----------
    rule : str
        Short name of the rule.
    subject : str
        Key, item or upstream concerned.
    detail : str
        What was seen.
    """

    __slots__ = ("rule", "subject", "detail")

    def __init__(self, *, rule, subject, detail):
        self.rule = rule
        self.subject = subject
        self.detail = detail

    def __repr__(self):
        return f"<{self.rule} {self.subject}: {self.detail}>"
