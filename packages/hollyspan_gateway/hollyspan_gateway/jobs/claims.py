"""What this gateway tells its peers of its work on items."""

from hollyspan_policy.hashing import hash_parts

__all__ = ["ClaimBook", "build_finished_key", "is_crowded"]

# Time for which an item whose result is being stored is named. After it the
# store may be out of reach for this gateway alone.
STORING_CLAIM_S = 2.0
# Time for which a finished job is named: several heartbeats of a large fleet.
FINISHED_CLAIM_S = 15.0
# Limits on what one message names, which is to fit into one datagram: items,
# unless more are running, and jobs.
MAX_WAITING_CLAIMS = 64
MAX_CROWDED_JOBS = 8
MAX_FINISHED_CLAIMS = 64
MAX_PROGRESS = 2**16
# Key that stands for any job.
ANY_JOB = 0


class ClaimBook:
    """Items that this gateway works on, and jobs with nothing left for it.

    Parameters
    ----------
    worker : Worker

    Attributes
    ----------
    recent : dict
        ItemState by key of the items that have run here and have no result.
    finished : dict
        Time by the key of a finished job, reactor seconds, oldest first.
    crowded : set of int
        Keys of the jobs of which more items wait than were last named.
    """

    __slots__ = ("worker", "recent", "finished", "crowded")

    def __init__(self, *, worker):
        self.worker = worker
        self.recent = {}
        self.finished = {}
        self.crowded = set()

    def note_start(self, state):
        """Note the start of a run."""
        self.recent[state.key] = state
        state.must_look_up = False

    def note_held(self, state):
        """Note that an item waits here for a place."""
        self.recent[state.key] = state

    def note_finished(self, job_state, workers):
        """Note that all items of a job that are owned here have results."""
        key = build_finished_key(job_state, workers)
        self.finished[key] = self.worker.gateway.reactor.seconds()

    def list_items(self):
        """Return the progress of the items in work, by key.

        Returns
        -------
        dict
            Items between two runs and those whose result is being stored are
            among them.
        """
        claims = dict.fromkeys(self.worker.running, 0)
        self.crowded = set()
        for key, state in list(self.recent.items()):
            is_running = key in claims
            if not is_running and not self.is_waiting(state):
                del self.recent[key]
            elif is_running or len(claims) < MAX_WAITING_CLAIMS:
                claims[key] = self.measure_progress(state) % MAX_PROGRESS
            else:
                self.crowded.add(hash_parts(state.job_state.job.identifier))
        return claims

    def list_crowded(self):
        """Return the keys of jobs of which items wait that are not named."""
        if len(self.crowded) > MAX_CROWDED_JOBS:
            return [ANY_JOB]
        return sorted(self.crowded)

    def measure_progress(self, state):
        """Return a number that changes with each event of an item.

        It also changes with each second of a delay between two runs.
        """
        waited = 0.0
        if state.run is None and state.result is None:
            waited = self.worker.gateway.reactor.seconds() - state.stopped_at
        return len(state.event_data) + int(waited)

    def is_waiting(self, state):
        """Return whether this gateway goes on with an item by itself."""
        now = self.worker.gateway.reactor.seconds()
        if state.has_result or state.job_state.is_ended:
            return False
        if state.result is not None:
            return now - state.stopped_at < STORING_CLAIM_S
        if state.is_taken and state.held_until > now:
            return True
        return state.not_before > now and (
            state.is_taken
            or self.worker.find_owner(state, self.worker.ranks.workers)
            == self.worker.gateway.peers.identifier
        )

    def list_finished(self):
        """Return the keys of the jobs that have lately been finished here."""
        now = self.worker.gateway.reactor.seconds()
        for key, finished_at in list(self.finished.items()):
            if now - finished_at < FINISHED_CLAIM_S:
                break
            del self.finished[key]
        return list(self.finished)[-MAX_FINISHED_CLAIMS:]


def build_finished_key(job_state, workers):
    """Return the key of a job whose items are shared by some gateways."""
    return hash_parts(job_state.job.identifier, *workers)


def is_crowded(peer, job_state):
    """Return whether a peer may work on items of a job that it cannot name."""
    return bool(peer.crowded_jobs) and (
        ANY_JOB in peer.crowded_jobs
        or hash_parts(job_state.job.identifier) in peer.crowded_jobs
    )
