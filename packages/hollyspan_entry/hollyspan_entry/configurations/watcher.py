"""Following the configuration in the store."""

import random
import time

import eliot

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_policy.ownership import choose_owner

from .sources import CURRENT_KEY
from .sources import read_store

__all__ = ["Watcher"]

CHECK_SECONDS = 0.5
JITTER = 0.2


class Watcher:
    """Watches the store while this daemon has that duty.

    Parameters
    ----------
    runtime : Runtime

    Notes
    -----
    One daemon of each data centre has the duty, so that the store has one
    waiting watch for each. It also reads the key at an interval, since a
    watch may go silent without an end.
    """

    __slots__ = ("runtime", "watch", "next_read", "next_watch")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.watch = None
        self.next_read = 0.0
        self.next_watch = 0.0

    async def check(self):
        """Start or stop watching as the duty goes; read when it is time."""
        now = time.monotonic()
        if not self.has_duty(now=now):
            self.stop()
            return
        if self.watch is None and now >= self.next_watch:
            self.start(now=now)
        if now >= self.next_read:
            self.next_read = now + self.choose_delay()
            await self.read()

    def has_duty(self, *, now):
        """Return whether this daemon is the watcher of its data centre."""
        settings = self.runtime.settings
        live = {
            member.instance
            for member in self.runtime.members.list_live(
                now=now, data_centre=settings.data_centre
            )
        }
        live.add(settings.instance)
        if self.runtime.draining:
            live.discard(settings.instance)
        duty = f"configuration/{settings.data_centre}"
        return choose_owner(duty, live) == settings.instance

    def choose_delay(self):
        poll = self.runtime.settings.timing.configuration_poll
        return poll * random.uniform(1 - JITTER, 1 + JITTER)

    def start(self, *, now):
        self.next_watch = now + self.choose_delay()
        self.next_read = now
        self.watch = self.runtime.store.watch(
            CURRENT_KEY, on_event=self.take_event, on_lost=self.lose
        )

    def stop(self):
        """End the watch."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def lose(self):
        """Note that the store has ended the watch."""
        self.watch = None

    def take_event(self, entry):
        """Put a changed document in force."""
        if entry.key != CURRENT_KEY or not entry.revision:
            return
        try:
            configuration = parse_configuration(entry.content)
        except ConfigurationInvalidError as error:
            eliot.log_message(
                message_type="configuration:invalid", reason=str(error)
            )
            return
        self.runtime.configurations.apply(configuration)

    async def read(self):
        """Read the document from the store."""
        configuration = await read_store(self.runtime.store)
        if configuration is not None:
            self.runtime.configurations.apply(configuration)
