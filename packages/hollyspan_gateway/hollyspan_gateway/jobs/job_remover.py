"""Removal of expired jobs from the store."""

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.ownership import choose_owner

from .quota_records import build_release_key
from .records import build_end_key
from .records import build_job_key
from .records import build_results_prefix
from .records import list_part_keys

__all__ = ["JobRemover"]

# A job is kept for this long after its items may be given up: results stay
# readable for 120 s after the submission, and clocks differ.
RETENTION_MARGIN_S = 180.0
REMOVAL_INTERVAL_S = 30.0
# Limit of the store.
MAX_KEYS_PER_WRITE = 32


class JobRemover:
    """Removes the expired jobs that this gateway owns from the store.

    Parameters
    ----------
    gateway : Gateway
    catalogue : JobCatalogue
    """

    def __init__(self, *, gateway, catalogue):
        self.gateway = gateway
        self.catalogue = catalogue
        self.loop = task.LoopingCall(self.remove_expired)
        self.loop.clock = gateway.reactor

    def start(self):
        """Start the periodic removal."""
        self.loop.start(REMOVAL_INTERVAL_S, now=False)

    def stop(self):
        """Stop the periodic removal."""
        if self.loop.running:
            self.loop.stop()

    def remove_expired(self):
        """Remove the expired jobs that this gateway owns."""
        now = self.gateway.wall_clock()
        workers = self.gateway.list_workers()
        for identifier, job_state in self.catalogue.jobs.items():
            if (
                job_state is None
                or now < job_state.job.retained_until + RETENTION_MARGIN_S
            ):
                continue
            if choose_owner(identifier, workers) != (
                self.gateway.peers.identifier
            ):
                continue
            defer.ensureDeferred(self.remove(identifier)).addErrback(
                eliot.write_failure
            )

    async def remove(self, identifier):
        """Remove all keys of a job, that of its record last."""
        entry = self.catalogue.mirror.entries.get(build_job_key(identifier))
        if entry is None:
            return
        prefix = build_results_prefix(identifier)
        try:
            page = await self.gateway.store.list(prefix)
            keys = [each.key for each in page.entries]
            keys += list_part_keys(identifier, entry.content[0])
            keys += list_release_keys(self.catalogue.jobs.get(identifier))
            keys += [build_end_key(identifier), build_job_key(identifier)]
            for start in range(0, len(keys), MAX_KEYS_PER_WRITE):
                await self.gateway.store.remove(
                    keys[start : start + MAX_KEYS_PER_WRITE]
                )
        except StoreUnavailableError as error:
            eliot.log_message(
                "job:not_removed", job=identifier, reason=error.message
            )
            return
        eliot.log_message("job:removed", job=identifier, keys=len(keys))


def list_release_keys(job_state):
    """Return the key that may mark the rest of a job as released."""
    if job_state is None or job_state.job.reservation is None:
        return []
    job = job_state.job
    return [build_release_key(job.reservation.quota, job.identifier)]
