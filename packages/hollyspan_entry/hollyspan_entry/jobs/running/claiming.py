"""Claiming of chunks according to the free capacity of upstreams."""

import time

import eliot

from hollyspan_core.errors import HollyspanError
from hollyspan_policy.claims import choose_chunk
from hollyspan_policy.claims import count_chunks_to_claim

from ..state import JobStatus
from .claim import claim_chunk
from .maintenance import release_chunk
from .preparation import admit_items

__all__ = ["claim_chunks"]

CLAIM_RETRY_DELAY_S = 1.0


async def claim_chunks(runner, *, now):
    """Claim chunks one by one while upstreams have free capacity.

    Parameters
    ----------
    runner : JobRunner
    now : float
        Monotonic seconds.
    """
    while now >= runner.claim_retry_at and runner.lease.check():
        models = find_models_with_capacity(runner, now=now)
        choice = choose_next_chunk(runner, models)
        if choice is None:
            return
        try:
            await claim(runner, *choice)
        except HollyspanError as error:
            runner.claim_retry_at = now + CLAIM_RETRY_DELAY_S
            eliot.log_message(
                message_type="jobs:claim-failed", reason=error.code
            )


def find_models_with_capacity(runner, *, now):
    """Return the models whose owned upstreams have free capacity."""
    free = {}
    for slots in runner.slots.values():
        if slots.owned and slots.is_usable:
            service = slots.upstream.service
            count = slots.count_allowed(now=now) - len(slots.paused)
            free[service] = free.get(service, 0) + count
    return {
        model
        for model, count in free.items()
        if count_chunks_to_claim(
            free_slots=count,
            items_per_second=runner.rate,
            items_held=count_held_items(runner, model),
            chunk_items=1,
        )
    }


def count_held_items(runner, model):
    return sum(
        chunk.count_unfinished(model)
        for chunk in runner.chunks.values()
        if not chunk.stopped
    )


def choose_next_chunk(runner, models):
    """Choose the next chunk to claim, or None.

    Only jobs with items that can run on the owned upstreams are considered.
    """
    runtime = runner.runtime
    instance = runtime.settings.instance
    live = runtime.members.list_live(now=time.monotonic())
    instances = sorted({member.instance for member in live} | {instance})
    start_fraction = instances.index(instance) / len(instances)
    views = [
        known.build_view(is_held=runner.is_held, start_fraction=start_fraction)
        for known in runner.queue.jobs.values()
        if known.record is not None
        and known.record.status is JobStatus.IN_PROGRESS
        and known.entry.state == JobStatus.IN_PROGRESS.value
        and has_capacity_for(runtime, known.record, models)
    ]
    return choose_chunk(
        views, instance=instance, now=time.time(), instances=instances
    )


def has_capacity_for(runtime, record, models):
    """Return True if there is free capacity for items of a job."""
    if not record.models:
        return bool(models)
    services = runtime.configurations.current.services
    # Items of an unknown model fail without needing an upstream.
    return any(
        model in models or model not in services for model in record.models
    )


async def claim(runner, job, chunk):
    """Claim one chunk and admit its items."""
    known = runner.queue.jobs[job]
    known.claimed.add(chunk)
    lease = runner.lease.lease_id
    runner.claiming.add((job, chunk))
    try:
        held = await claim_chunk(
            runner.runtime,
            workspace=known.entry.workspace,
            job=job,
            chunk=chunk,
            lease=lease,
            now=time.monotonic(),
        )
        if held is not None:
            runner.chunks[held.name] = held
    finally:
        runner.claiming.discard((job, chunk))
    if held is None:
        return
    runner.counters.claimed += 1
    eliot.log_message(
        message_type="jobs:claimed",
        job=job,
        chunk=chunk,
        takeover=held.attempt_counts.is_takeover,
    )
    if runner.stopping or lease != runner.lease.lease_id:
        await release_chunk(runner, held)
        return
    admit_items(
        held,
        attempts_limit=runner.read_limit("batch.item_attempts", held),
        services=runner.runtime.configurations.current.services,
    )
    runner.schedule_dispatch()
