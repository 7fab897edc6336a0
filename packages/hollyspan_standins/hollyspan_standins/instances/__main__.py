"""Starts the instance list."""

import json
from pathlib import Path

from twisted.internet import reactor

from ..common import build_parser
from ..common import run_site
from .server import build_instances


def main():
    """Serve the instance list until stopped."""
    parser = build_parser(__doc__)
    parser.add_argument("--lag", type=float, default=1.0, help="seconds")
    parser.add_argument(
        "--initial", help="JSON file with the entries listed at once"
    )
    options = parser.parse_args()
    entries = []
    if options.initial:
        text = Path(options.initial).read_text(encoding="utf-8")
        entries = json.loads(text)
    site = build_instances(reactor, lag_seconds=options.lag, entries=entries)
    run_site(site, options)


if __name__ == "__main__":
    main()
