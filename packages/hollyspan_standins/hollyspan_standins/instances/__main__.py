"""Run the instance list."""

from functools import partial
import json
from pathlib import Path

from twisted.internet import reactor

from ..common import build_parser
from ..common import build_site
from ..common import run_site
from .server import InstancesServer


def read_json(path, default):
    """Return the content of a JSON file, or the default without a path."""
    if path is None:
        return default
    return json.loads(Path(path).read_text(encoding="utf-8"))


def main():
    """Serve the instance list until stopped."""
    parser = build_parser(__doc__)
    parser.add_argument("--lag", type=float, default=1.0, help="seconds")
    parser.add_argument("--initial", help="JSON file with the initial entries")
    parser.add_argument("--views", help="JSON file with the port of each view")
    options = parser.parse_args()
    server = InstancesServer(
        clock=reactor,
        lag_seconds=options.lag,
        entries=read_json(options.initial, []),
    )
    for view, port in read_json(options.views, {}).items():
        site = build_site(partial(server.handle, view=view))
        reactor.listenTCP(port, site, interface=options.address)
    run_site(build_site(server.handle), options)


if __name__ == "__main__":
    main()
