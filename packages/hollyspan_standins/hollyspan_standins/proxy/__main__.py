"""Run a fault proxy for any number of links."""

import json

from twisted.internet import reactor

from ..common import build_parser
from ..common import build_site
from ..common import print_ready_line
from ..common import run_reactor
from .link import Link
from .ports import listen_link
from .server import ProxyServer


def open_links(descriptions):
    """Listen for all links and return the links and their ports by name."""
    links = {}
    ports = {}
    for description in descriptions:
        link = Link(
            name=description["name"],
            host=description.get("host", "127.0.0.1"),
            target=description["target"],
            reactor=reactor,
        )
        links[link.name] = link
        kind = description.get("kind", "tcp")
        ports[link.name] = listen_link(reactor, link, kind)
    return links, ports


def main():
    """Serve all links until stopped."""
    parser = build_parser(__doc__)
    parser.add_argument(
        "--links",
        required=True,
        help='JSON: [{"name", "kind": "tcp", "udp" or "both", "target"}]',
    )
    options = parser.parse_args()
    links, ports = open_links(json.loads(options.links))
    site = build_site(ProxyServer(links=links).handle)
    listener = reactor.listenTCP(options.port, site, interface=options.address)
    print_ready_line(listener.getHost().port, links=ports)
    run_reactor(options)


if __name__ == "__main__":
    main()
