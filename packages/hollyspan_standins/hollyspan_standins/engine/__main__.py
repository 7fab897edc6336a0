"""Command that starts an engine."""

from twisted.internet import reactor

from ..common import build_site
from ..common import open_recorder
from ..common import run_site
from .build import build_engine
from .options import build_engine_parser


def main():
    """Serve an engine until stopped."""
    options = build_engine_parser().parse_args()
    with open_recorder(options.record, engine=options.name) as record:
        server = build_engine(reactor, options, record)
        run_site(build_site(server.handle), options)


if __name__ == "__main__":
    main()
