"""Running one stand-in as a process."""

import argparse
import json
import sys

from twisted.internet import reactor

__all__ = ["build_parser", "run_site"]

ADDRESS = "127.0.0.1"


def build_parser(description):
    """Return a parser with the options that every stand-in has."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--port", type=int, default=0, help="0 picks a free port"
    )
    parser.add_argument("--address", default=ADDRESS)
    parser.add_argument("--seed", type=int, default=1)
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
    reactor.run()


def print_ready(port, **more):
    """Print the line that tells the launcher that this process listens."""
    print(json.dumps({"ready": True, "port": port, **more}))
    sys.stdout.flush()
