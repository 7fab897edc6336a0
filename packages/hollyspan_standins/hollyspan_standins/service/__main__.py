"""Run a plain service."""

from twisted.internet import reactor

from ..common import build_parser
from ..common import open_recorder
from ..common import run_site
from .server import build_service


def main():
    """Serve until stopped."""
    parser = build_parser(__doc__)
    parser.add_argument("--name", default="service")
    parser.add_argument("--record", help="file for the records of calls")
    parser.add_argument("--delay", type=float, default=0.0, help="seconds")
    parser.add_argument("--fail-rate", type=float, default=0.0)
    options = parser.parse_args()
    with open_recorder(options.record, service=options.name) as record:
        run_site(build_service(reactor, options, record), options)


if __name__ == "__main__":
    main()
