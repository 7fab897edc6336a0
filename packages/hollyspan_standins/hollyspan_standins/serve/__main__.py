"""Run a local deployment until Ctrl-C; see ``make serve``."""

import argparse
import signal
import sys
import threading

from ..common import StandinError
from ..deployment import CALLER_KEY
from ..deployment import open_deployment

FIRST_PORT = 8080
MODEL = "pips-lm"


def wait_for_stop():
    """Wait for SIGINT or SIGTERM.

    Notes
    -----
    Further signals have no effect, so that a second Ctrl-C does not
    interrupt the graceful stop.
    """
    stop_requested = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    stop_requested.wait()


def read_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--folder", help="keeps settings, logs and records there"
    )
    return parser.parse_args()


def main():
    """Run the deployment until stopped.

    Returns
    -------
    int
        0 if all processes stopped gracefully.
    """
    options = read_options()
    try:
        with open_deployment(
            model=MODEL, first_port=FIRST_PORT, folder=options.folder
        ) as deployment:
            entry = deployment.daemon_names[0]
            print(f"callers' API: {deployment.url(entry)}/v1")
            print(f"key: {CALLER_KEY}, model: {MODEL}, service: clock")
            print("Ctrl-C stops", flush=True)
            wait_for_stop()
            print("stopping all", flush=True)
    except (StandinError, OSError) as error:
        print(f"serve failed: {type(error).__name__}: {error}")
        return 1
    return int(any(deployment.stop_codes.values()))


if __name__ == "__main__":
    sys.exit(main())
