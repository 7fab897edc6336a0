"""Documents of other programs that are refused."""

import collections

import eliot

__all__ = ["RefusedDocuments"]

MAX_REASON_LENGTH = 200
# Interval between two log lines on refused documents of one kind.
LOG_INTERVAL_S = 10.0


class RefusedDocuments:
    """Counts documents that are refused, and logs one now and then.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    counts : collections.Counter
        Refusals by kind of document.
    revisions : dict
        Revisions of the refused documents that are still there, by key, by
        kind.
    logged : dict
        Time of the last log line and the count at that time, by kind.
    """

    __slots__ = ("clock", "counts", "revisions", "logged")

    def __init__(self, *, clock):
        self.clock = clock
        self.counts = collections.Counter()
        self.revisions = {}
        self.logged = {}

    def note(self, kind, *, name, reason):
        """Count a refused document.

        Parameters
        ----------
        kind : str
        name : str
            Key, address or sender of the document.
        reason : str
        """
        self.counts[kind] += 1
        now = self.clock()
        logged_at, logged_count = self.logged.get(kind, (None, 0))
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self.logged[kind] = (now, self.counts[kind])
        eliot.log_message(
            "document:refused",
            kind=kind,
            name=name,
            reason=reason[:MAX_REASON_LENGTH],
            count=self.counts[kind] - logged_count,
        )

    def update(self, kind, refused):
        """Count those of the refused entries of a list that are new.

        Parameters
        ----------
        kind : str
        refused : dict
            Revision and reason, by the key of the entry; all that the list
            holds now.
        """
        known = self.revisions.get(kind, {})
        self.revisions[kind] = {
            key: revision for key, (revision, _) in refused.items()
        }
        for key, (revision, reason) in refused.items():
            if known.get(key) != revision:
                self.note(kind, name=key, reason=reason)
