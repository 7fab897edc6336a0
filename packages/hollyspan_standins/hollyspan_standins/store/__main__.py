"""Starts the platform store."""

from twisted.internet import reactor

from ..common import build_parser
from ..common import run_site
from .server import build_store


def main():
    """Serve an empty store until stopped."""
    options = build_parser(__doc__).parse_args()
    run_site(build_store(reactor), options)


if __name__ == "__main__":
    main()
