"""Removal of jobs whose time is over."""

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.ownership import choose_owner

from .records import build_end_key
from .records import build_job_key
from .records import build_results_prefix
from .records import list_part_keys

__all__ = ["Removal"]

# Seconds for which a job is kept after its items may be given up: results
# stay readable for 120 s after the submission, and clocks differ.
KEPT_S = 180.0
# Seconds between two looks for such jobs.
LOOK_S = 30.0
# Keys that the store takes in one write.
KEYS_A_WRITE = 32


class Removal:
    """Removes jobs from the store, each at the worker that owns it.

    Parameters
    ----------
    gateway : Gateway
    catalogue : JobCatalogue
    """

    def __init__(self, *, gateway, catalogue):
        self.gateway = gateway
        self.catalogue = catalogue
        self.loop = task.LoopingCall(self.remove_old)
        self.loop.clock = gateway.reactor

    def start(self):
        """Begin to look for jobs whose time is over."""
        self.loop.start(LOOK_S, now=False)

    def stop(self):
        """Stop looking."""
        if self.loop.running:
            self.loop.stop()

    def remove_old(self):
        """Remove the jobs whose time is over."""
        now = self.gateway.wall_clock()
        owners = self.gateway.list_workers()
        for identifier, job in self.catalogue.jobs.items():
            if job is None or now < job.job.retained_until + KEPT_S:
                continue
            if choose_owner(identifier, owners) != (
                self.gateway.peers.identifier
            ):
                continue
            defer.ensureDeferred(self.remove(identifier)).addErrback(
                eliot.write_failure
            )

    async def remove(self, identifier):
        """Remove all keys of a job, its record last."""
        entry = self.catalogue.mirror.entries.get(build_job_key(identifier))
        if entry is None:
            return
        prefix = build_results_prefix(identifier)
        try:
            page = await self.gateway.store.list(prefix)
            keys = [each.key for each in page.entries]
            keys += list_part_keys(identifier, entry.content[0])
            keys += [build_end_key(identifier), build_job_key(identifier)]
            for start in range(0, len(keys), KEYS_A_WRITE):
                await self.gateway.store.remove(
                    keys[start : start + KEYS_A_WRITE]
                )
        except StoreUnavailableError as failure:
            eliot.log_message(
                "job:not_removed", job=identifier, reason=failure.message
            )
            return
        eliot.log_message("job:removed", job=identifier, keys=len(keys))
