"""Signals that ask a process to stop."""

import signal

__all__ = ["handle_once"]


def handle_once(act, numbers):
    """Call a function at the first of some signals and ignore the rest.

    Parameters
    ----------
    act : callable
        Called without arguments, from the handler.
    numbers : iterable of signal.Signals

    Notes
    -----
    The interpreter puts handlers of its own making back to the default when
    it ends, so that a further signal would end the process with that signal's
    code. Signals that are ignored stay so. Blocking them does not help: the
    mask is one of a thread, and the signal goes to another one.
    """
    numbers = tuple(numbers)

    def take_signal(number, frame):
        for each in numbers:
            signal.signal(each, signal.SIG_IGN)
        act()

    for each in numbers:
        signal.signal(each, take_signal)
