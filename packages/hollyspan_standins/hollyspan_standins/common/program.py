"""Running one stand-in as a process."""

import argparse
import json
import os
import sys

from twisted.internet import reactor
from twisted.internet.task import LoopingCall

__all__ = ["build_parser", "print_ready", "run_reactor", "run_site"]

ADDRESS = "127.0.0.1"
PARENT_POLL_SECONDS = 1.0


def build_parser(description):
    """Return a parser with the options that every stand-in has."""
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
    Prints one JSON line with the port once it listens.
    """
    listener = reactor.listenTCP(
        options.port, site, interface=options.address, backlog=512
    )
    print_ready(listener.getHost().port)
    run_reactor(options)


def run_reactor(options):
    """Run the loop until SIGTERM or SIGINT."""
    if options.follow_parent:
        parent = os.getppid()
        LoopingCall(stop_orphan, parent).start(PARENT_POLL_SECONDS)
    reactor.run()


def stop_orphan(parent):
    """Stop the loop if the parent has ended."""
    if os.getppid() != parent:
        reactor.stop()


def print_ready(port, **more):
    """Print the line that tells the launcher that this process listens."""
    print(json.dumps({"ready": True, "port": port, **more}))
    sys.stdout.flush()
