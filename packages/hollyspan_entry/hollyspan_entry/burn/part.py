"""Setup of the service-level counters in the daemon."""

import contextlib
import time

from .burn import BurnCounters

__all__ = ["open_burn"]


@contextlib.contextmanager
def open_burn(runtime):
    """Create the service-level counters and serve them to other daemons.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    BurnCounters
    """
    burn = BurnCounters(
        data_centre=runtime.settings.data_centre, clock=time.monotonic
    )
    runtime.burn = burn
    runtime.links.statistics_providers["burn"] = burn.summarise
    yield burn
