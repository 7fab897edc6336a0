"""Why an item is open, as each worker tells it."""

__all__ = ["describe_open_item"]


def describe_open_item(world, client, item):
    """Return why an item has no result.

    Parameters
    ----------
    world : World
    client : JobClient
    item : str

    Returns
    -------
    (str, str)
        What its owner tells, without names, and what each worker does.
    """
    reasons = {
        process.name: find_reason(process, client.name, item)
        for process in world.list_processes("worker")
    }
    own = sorted(
        {
            describe(reason, other)
            for reason, other, is_owner in reasons.values()
            if is_owner
        }
    )
    others = sorted({reason for reason, _, _ in reasons.values()})
    cause = " and ".join(own) if own else f"no owner ({', '.join(others)})"
    return cause, f"{item}: {reasons}"


def describe(reason, other):
    return reason if other is None else f"{reason} {other}"


def find_reason(process, job, item):
    """Return reason, detail and whether the worker owns the item."""
    worker = process.gateway.worker
    if not process.is_running:
        return "stands still", None, False
    if worker is None or job not in worker.catalogue.jobs:
        return "job_not_seen", None, False
    job_state = worker.catalogue.jobs[job]
    if job_state is None:
        return "job_not_read", None, False
    state = job_state.items.get(item)
    if state is None:
        # The items of a job that seems complete are forgotten.
        return "believes_stored", None, True
    if state.has_result:
        return "believes_stored", None, True
    if state.run is not None:
        return "runs", None, True
    workers = tuple(sorted(process.gateway.list_workers()))
    owner = worker.find_owner(state, workers)
    reason, _ = worker.open_items.find_reason(
        state, workers, worker.open_items.find_runners()
    )
    is_owner = owner == process.gateway.peers.identifier
    if reason == "blocked":
        block = process.gateway.guard.block_list.find(state.shared_parts)
        kind = "doubtful" if block.is_doubtful else "certain"
        is_own = set(block.keys) <= set(state.shared_parts)
        count = f"{min(block.failed_trials, 3)} failed trials"
        return f"blocked {kind} {count}", None, is_owner and is_own
    if reason == "owned_elsewhere":
        return reason, None, False
    return reason, None, is_owner
