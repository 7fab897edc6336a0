"""Command line and main loop of a stand-in process."""

import argparse
import json
import os
import sys

from twisted.internet import reactor
from twisted.internet.task import LoopingCall

__all__ = ["build_parser", "print_ready_line", "run_reactor", "run_site"]

ADDRESS = "127.0.0.1"
PARENT_POLL_INTERVAL_S = 1.0
# Read before the ready line, on which the parent may end.
PARENT = os.getppid()


def build_parser(description):
    """Build a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--port", type=int, default=0, help="0 picks a free port"
    )
    parser.add_argument("--address", default=ADDRESS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--follow-parent",
        action="store_true",
        help="stop when the process that started this one has ended",
    )
    return parser


def run_site(site, options):
    """Serve a site until SIGTERM or SIGINT.

    Notes
    -----
    Prints one JSON line with the port as soon as the site listens.
    """
    listener = reactor.listenTCP(
        options.port, site, interface=options.address, backlog=512
    )
    print_ready_line(listener.getHost().port)
    run_reactor(options)


def run_reactor(options):
    """Run the reactor until SIGTERM or SIGINT."""
    if options.follow_parent:
        # A reactor that does not run yet cannot be stopped.
        reactor.callWhenRunning(watch_parent)
    reactor.run()


def watch_parent():
    """Stop the reactor once the parent process has exited."""
    LoopingCall(stop_if_orphaned).start(PARENT_POLL_INTERVAL_S)


def stop_if_orphaned():
    if os.getppid() != PARENT:
        reactor.stop()


def print_ready_line(port, **extra_fields):
    """Print the JSON line from which the launcher reads the port."""
    print(json.dumps({"ready": True, "port": port, **extra_fields}))
    sys.stdout.flush()
