"""Bytes of one message that are kept until it is whole."""

import contextlib

from hollyspan_policy.intake import IntakeMeter

from .limits import FREE_BYTES

__all__ = ["open_keeping"]


@contextlib.contextmanager
def open_keeping(*, limits, budget, sender):
    """Count what is kept of one message until the end of the context.

    Parameters
    ----------
    limits : IntakeLimits
        Limits on this message.
    budget : ByteBudget
        Limit on all messages together.
    sender : hashable
        Program that the message comes from.

    Yields
    ------
    callable
        Called with the size of each piece before it is kept; raises
        IntakeExceededError.
    """
    meter = IntakeMeter(limits=limits)
    with budget.open_account(sender=sender) as keep:

        def count(size):
            meter.count(size)
            excess = meter.content_bytes - FREE_BYTES
            if excess > 0:
                keep(min(size, excess))

        yield count
