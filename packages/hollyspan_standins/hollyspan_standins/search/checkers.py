"""Rules that are checked on every run."""

import collections

from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import decode_result
from hollyspan_gateway.jobs.records import RESULTS_PREFIX

from .reasons import describe_open_item

__all__ = ["Violation", "list_violations"]

# Ends by a fatal part, and the time after them, from which it is known; later
# requests with it are trials.
KNOWN_ENDS = 5
CONTACT_S = 4.0
MAX_LATE_SENDS = 3
# Times that each gateway may begin to block one part, on average.
MAX_BLOCKS_PER_GATEWAY = 6


class Violation:
    """A rule that a run has broken.

    Attributes
    ----------
    rule : str
    cause : str
        What tells violations of one kind apart, without names and figures.
    text : str
    """

    __slots__ = ("rule", "cause", "text")

    def __init__(self, *, rule, cause, text):
        self.rule = rule
        self.cause = cause
        self.text = text

    @property
    def key(self):
        """Rule and cause in one."""
        return f"{self.rule}: {self.cause}"

    def __str__(self):
        return f"{self.key} ({self.text})"


def list_violations(world):
    """Return all rules that a run has broken.

    Parameters
    ----------
    world : World

    Returns
    -------
    list of Violation
    """
    return [
        *check_errors(world),
        *check_open_items(world),
        *check_results(world),
        *check_streams(world),
        *check_fatal_parts(world),
        *check_blocks(world),
    ]


def check_errors(world):
    """No exception stays unhandled."""
    for text, count in collections.Counter(world.errors).items():
        yield Violation(rule="error", cause=text, text=f"{count} times")


def check_open_items(world):
    """Each accepted item with a sound prompt has a result in time."""
    groups = collections.defaultdict(list)
    for client, item in world.list_open_items():
        cause, text = describe_open_item(world, client, item)
        groups[client.name, cause].append(text)
    for (job, cause), texts in groups.items():
        yield Violation(
            rule="open",
            cause=cause,
            text=f"{len(texts)} items of {job}, such as {texts[0]}",
        )


def check_results(world):
    """Each result is written once, and its text is whole."""
    store = world.store
    for key, count in store.writes.items():
        if key.startswith(RESULTS_PREFIX) and count > 1:
            yield Violation(rule="result", cause="written twice", text=key)
    for client in world.jobs:
        for item in client.list_items():
            key = build_result_key(client.name, item)
            entry = store.entries.get(key)
            if entry is None:
                continue
            result = decode_result(key, entry.content)
            if not result.is_done:
                yield Violation(rule="result", cause="given up", text=key)
                continue
            texts = result.output.decode().split("\n")
            cause = find_text_fault(texts, item, client.plan.events)
            if cause is not None:
                yield Violation(rule="result", cause=cause, text=key)


def check_streams(world):
    """No stream lacks an event, has one twice or mixes versions."""
    for client in world.streams:
        numbers = [number for number, _ in client.received]
        texts = [text for _, text in client.received]
        count = client.count if client.is_whole else len(texts)
        if numbers != list(range(1, len(numbers) + 1)):
            cause = "events out of order"
        else:
            cause = find_text_fault(texts, client.name, count)
        if cause is not None:
            yield Violation(rule="stream", cause=cause, text=client.name)


def find_text_fault(texts, name, count):
    """Return what is wrong with the texts of an answer, or None."""
    if len(texts) != count:
        return f"{'fewer' if len(texts) < count else 'more'} events than whole"
    versions = {text.partition(".")[0] for text in texts}
    if len(versions) > 1:
        return "mixed versions"
    for number, text in enumerate(texts, 1):
        if text.partition(".")[2] != f"{name}.{number}":
            return "wrong text"
    return None


def check_fatal_parts(world):
    """A part that ends upstreams soon reaches them as a trial only."""
    for part in sorted(world.fatal_parts):
        ends = [at for at, _, fatal in world.ended if part in fatal]
        if len(ends) < KNOWN_ENDS:
            continue
        known_at = ends[KNOWN_ENDS - 1] + CONTACT_S
        late = [
            at
            for at, _, _, parts in world.arrivals
            if part in parts and at > known_at
        ]
        if len(late) > MAX_LATE_SENDS:
            yield Violation(
                rule="fatal part",
                cause="sent on",
                text=f"{len(late)} late sends, {len(ends)} ends",
            )


def check_blocks(world):
    """No part is blocked and let through again and again."""
    for parts, count in world.blocked.items():
        if count > MAX_BLOCKS_PER_GATEWAY * world.process_count:
            yield Violation(
                rule="block",
                cause="begins again and again",
                text=f"{parts} {count} times at {world.process_count}",
            )
