"""Handling of termination signals."""

import signal

__all__ = ["handle_once"]


def handle_once(callback, signal_numbers):
    """Call a function at the first of some signals and ignore the rest.

    Parameters
    ----------
    callback : callable
        Called without arguments, from the handler.
    signal_numbers : iterable of signal.Signals

    Notes
    -----
    At exit the interpreter resets Python-level handlers to the default, so
    that a further signal would end the process with that signal's exit code.
    Ignored signals are not reset. Blocking the signals does not help: a signal
    mask applies to one thread, and the signal is delivered to another one.
    """
    signal_numbers = tuple(signal_numbers)

    def handle_first_signal(number, frame):
        for signal_number in signal_numbers:
            signal.signal(signal_number, signal.SIG_IGN)
        callback()

    for signal_number in signal_numbers:
        signal.signal(signal_number, handle_first_signal)
