"""Watching the configuration in the store."""

import random
import time

import eliot

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_policy.ownership import choose_owner

from .sources import CURRENT_KEY
from .sources import read_stored_configuration

__all__ = ["ConfigurationWatcher"]

CHECK_INTERVAL_S = 0.5
READ_JITTER_FRACTION = 0.2


class ConfigurationWatcher:
    """Watches the store while this daemon is the watcher of its data centre.

    Parameters
    ----------
    runtime : Runtime

    Notes
    -----
    One daemon of each data centre is the watcher, so that the store has only
    one open watch per data centre. The watcher also reads the key
    periodically, because a watch can stop sending events without being
    closed.
    """

    __slots__ = ("runtime", "watch", "next_read_at", "next_watch_at")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.watch = None
        self.next_read_at = 0.0
        self.next_watch_at = 0.0

    async def check(self):
        """Start or stop the watch, and read the key if a read is due."""
        now = time.monotonic()
        if not self.is_watcher(now=now):
            self.stop()
            return
        if self.watch is None and now >= self.next_watch_at:
            self.start(now=now)
        if now >= self.next_read_at:
            self.next_read_at = now + self.choose_delay()
            await self.read()

    def is_watcher(self, *, now):
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
        role = f"configuration/{settings.data_centre}"
        return choose_owner(role, live) == settings.instance

    def choose_delay(self):
        poll = self.runtime.settings.timing.configuration_poll
        return poll * random.uniform(
            1 - READ_JITTER_FRACTION, 1 + READ_JITTER_FRACTION
        )

    def start(self, *, now):
        self.next_watch_at = now + self.choose_delay()
        self.next_read_at = now
        self.watch = self.runtime.store.watch(
            CURRENT_KEY,
            on_event=self.handle_event,
            on_lost=self.handle_watch_end,
        )

    def stop(self):
        """Stop the watch."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def handle_watch_end(self):
        """Clear the watch after the store has closed it."""
        self.watch = None

    def handle_event(self, entry):
        """Apply a changed document."""
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
        """Read the document from the store and apply it."""
        configuration = await read_stored_configuration(self.runtime.store)
        if configuration is not None:
            self.runtime.configurations.apply(configuration)
