"""Run the platform store."""

from twisted.internet import reactor

from ..common import build_parser
from ..common import run_site
from .server import build_store


def main():
    """Serve an empty store until stopped."""
    parser = build_parser(__doc__)
    for name in ("--writes-per-second", "--reads-per-second"):
        parser.add_argument(
            name, type=float, default=0.0, help="0 means no limit"
        )
    options = parser.parse_args()
    site = build_store(
        reactor,
        writes_per_second=options.writes_per_second,
        reads_per_second=options.reads_per_second,
    )
    run_site(site, options)


if __name__ == "__main__":
    main()
