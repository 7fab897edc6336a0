"""Evidence on which requests end upstreams."""

import math

from .common_cause import list_moment
from .record import EndRecord

__all__ = ["CrashEvidence"]

# Time for which an end counts; the evidence against a part that is rarely
# requested must last for several of its requests.
EVIDENCE_TTL_S = 600.0
# Limits on the memory; the oldest are forgotten.
MAX_ENDS = 64
MAX_REQUESTS_PER_END = 64
MAX_SURVIVALS = 4096
MAX_OTHER_ENDS = 64
# Time in which other gateways answer whether they see an end, too.
CONFIRMATION_S = 1.0
# Time in which the store may tell of an end that no other gateway has seen: it
# drops the entry, or another process has the name.
SETTLEMENT_S = 5.0
# Time within which several gateways see one end.
SAME_END_S = 1.0


class CrashEvidence:
    """Ends of upstreams, and keys of requests that upstreams have survived.

    The keys of a request are the hashes of its prompt's shared parts and its
    own fingerprint.

    Attributes
    ----------
    ends : dict
        EndRecord by the key of the upstream's incarnation, the oldest first.
    survivals : dict
        Time of the last survival in seconds by key, the oldest first.
    other_ends : dict
        EndRecord without requests of each upstream that ended with none in
        flight that may have caused it, by the key of its incarnation.
    unread : dict
        Time of the last end with requests that are not told, by the key of
        the incarnation, the oldest first.

    Notes
    -----
    Both kinds come from all gateways. Adding one twice changes nothing, and
    the order does not matter.
    """

    __slots__ = ("ends", "survivals", "other_ends", "unread")

    def __init__(self):
        self.ends = {}
        self.survivals = {}
        self.other_ends = {}
        self.unread = {}

    def note_end(
        self, key, requests, *, at, fingerprints=(), is_confirmed=True
    ):
        """Add the end of an upstream.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation.
        requests : iterable of tuple of int
            Keys of the requests that may have caused it.
        at : float
            Time of the end; of several reports the first holds.
        fingerprints : iterable of int, optional
            Those of the keys that belong to one request alone.
        is_confirmed : bool, optional
            False if the link of the daemon that reports it may be to blame.

        Returns
        -------
        bool
            False when all of it was known.
        """
        record = self.ends.get(key)
        if record is None:
            record = self.ends[key] = EndRecord(at=at)
            record.has_unread = (
                abs(self.unread.get(key, math.inf) - at) <= SAME_END_S
            )
            if len(self.ends) > MAX_ENDS:
                del self.ends[next(iter(self.ends))]
        known = len(record.requests), record.is_confirmed
        record.is_confirmed |= is_confirmed
        fingerprints = frozenset(fingerprints)
        for keys in requests:
            if keys and len(record.requests) < MAX_REQUESTS_PER_END:
                record.requests.add(keys)
                record.fingerprints |= fingerprints.intersection(keys)
        return (len(record.requests), record.is_confirmed) != known

    def note_other_end(self, key, *, at, is_confirmed=True):
        """Add the end of an upstream that no request may have caused.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation.
        at : float
        is_confirmed : bool, optional
        """
        if abs(self.unread.get(key, math.inf) - at) <= SAME_END_S:
            return
        record = self.other_ends.get(key)
        if record is None:
            record = self.other_ends[key] = EndRecord(at=at)
            if len(self.other_ends) > MAX_OTHER_ENDS:
                self.forget_other_end()
        record.is_confirmed |= is_confirmed

    def note_unread(self, key, *, at):
        """Note that more requests were in flight at an end than are known.

        The end tells nothing of the keys that it seems to lack.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation; that of an earlier one if the
            gateway that has seen the end does not know its successor.
        at : float
        """
        self.other_ends.pop(key, None)
        self.unread.pop(key, None)
        self.unread[key] = at
        if len(self.unread) > MAX_ENDS:
            del self.unread[next(iter(self.unread))]
        if self.is_same_end(key, at=at):
            self.ends[key].has_unread = True

    def is_same_end(self, key, *, at):
        """Return whether an end is known that was seen at about a time."""
        return key in self.ends and abs(self.ends[key].at - at) <= SAME_END_S

    def list_unattributed(self):
        """Return the ends of which only unread requests are known."""
        unattributed = []
        for key, at in self.unread.items():
            if not self.is_same_end(key, at=at):
                record = EndRecord(at=at)
                record.has_unread = True
                unattributed.append(record)
        return unattributed

    def has_end(self, key):
        """Return whether the end of an upstream is known."""
        return key in self.ends or key in self.other_ends

    def forget_other_end(self):
        """Forget the oldest one, first of those that tell nothing."""
        for key, record in self.other_ends.items():
            if not list_moment(record, self.ends.values()):
                break
        else:
            key = next(iter(self.other_ends))
        del self.other_ends[key]

    def is_in_doubt(self, key):
        """Return whether an end was reported and not confirmed yet."""
        return key in self.ends and not self.ends[key].is_confirmed

    def note_survival(self, keys, *, at):
        """Add a request that its upstream has survived.

        Parameters
        ----------
        keys : iterable of int
        at : float
        """
        for key in keys:
            last = self.survivals.pop(key, at)
            self.survivals[key] = max(last, at)
        while len(self.survivals) > MAX_SURVIVALS:
            del self.survivals[next(iter(self.survivals))]

    def list_ends(self, *, now):
        """Return the confirmed ends that still count, the oldest first."""
        for key, record in list(self.ends.items()):
            if now - record.at > EVIDENCE_TTL_S:
                del self.ends[key]
        return [each for each in self.ends.values() if each.is_confirmed]

    def list_beside(self, *, now, list_unproven=frozenset):
        """Return the ends that count against no key, see `choose_blocks`.

        Parameters
        ----------
        now : float
        list_unproven : callable, optional
            Returns the set of keys of incarnations whose processes may have
            ended for all that is known since.

        Notes
        -----
        One that is not confirmed soon may be the fault of a link, which would
        hide the ends that requests cause as long as it lasts. Where many
        upstreams are lost, the first ones that are back confirm their ends,
        and those that are not back yet are what excuses them.
        """
        listed = {**self.other_ends, **self.ends}
        in_doubt = {
            key
            for key, each in listed.items()
            if not each.is_confirmed
            and CONFIRMATION_S < now - each.at <= SETTLEMENT_S
        }
        if in_doubt:
            in_doubt &= list_unproven()
        beside = [
            each
            for key, each in listed.items()
            if key in in_doubt
            or (key not in self.ends and each.is_confirmed)
            or (not each.is_confirmed and now - each.at <= CONFIRMATION_S)
        ]
        return beside + self.list_unattributed()
