"""Evidence on which parts of prompts end upstreams."""

from .record import EndRecord

__all__ = ["CrashEvidence"]

# Time for which an end counts; the evidence against a part that is rarely
# requested must last for several of its requests.
EVIDENCE_TTL_S = 600.0
# Limits on the memory; the oldest are forgotten.
MAX_ENDS = 64
MAX_REQUESTS_PER_END = 64
MAX_SURVIVALS = 4096


class CrashEvidence:
    """Ends of upstreams, and parts of prompts that upstreams have survived.

    Attributes
    ----------
    ends : dict
        EndRecord by the key of the upstream's incarnation, the oldest first.
    survivals : dict
        Time of the last survival in seconds by part, the oldest first.

    Notes
    -----
    Both kinds come from all gateways. Adding one twice changes nothing, and
    the order does not matter.
    """

    __slots__ = ("ends", "survivals")

    def __init__(self):
        self.ends = {}
        self.survivals = {}

    def note_end(self, key, requests, *, at):
        """Add the end of an upstream.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation.
        requests : iterable of tuple of int
            Shared parts of the prompts of the requests that may have caused
            it.
        at : float
            Time of the end; of several reports the first holds.

        Returns
        -------
        bool
            False when all of it was known.
        """
        record = self.ends.get(key)
        if record is None:
            record = self.ends[key] = EndRecord(at=at)
            if len(self.ends) > MAX_ENDS:
                del self.ends[next(iter(self.ends))]
        known = len(record.requests)
        for parts in requests:
            if parts and len(record.requests) < MAX_REQUESTS_PER_END:
                record.requests.add(parts)
        return len(record.requests) > known

    def note_survival(self, parts, *, at):
        """Add a request that its upstream has survived.

        Parameters
        ----------
        parts : iterable of int
            Shared parts of its prompt.
        at : float
        """
        for part in parts:
            last = self.survivals.pop(part, at)
            self.survivals[part] = max(last, at)
        while len(self.survivals) > MAX_SURVIVALS:
            del self.survivals[next(iter(self.survivals))]

    def list_ends(self, *, now):
        """Return the ends that still count, the oldest first."""
        for key, record in list(self.ends.items()):
            if now - record.at > EVIDENCE_TTL_S:
                del self.ends[key]
        return list(self.ends.values())
