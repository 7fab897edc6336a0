"""Control endpoint of the proxy."""

from fnmatch import fnmatchcase

from ..common import AnswerError
from ..common import read_json
from ..common import send_json

__all__ = ["ProxyServer"]


class ProxyServer:
    """Sets and reports the state of links.

    Parameters
    ----------
    links : dict of str to Link
    """

    def __init__(self, *, links):
        self.links = links

    def handle(self, request):
        """Answer one request.

        Notes
        -----
        ``POST /control`` accepts ``{"links": [pattern, ...], "cut": true,
        ...}``; patterns are those of :mod:`fnmatch`. ``GET /control/links``
        reports all links.
        """
        path = request.path.decode()
        if path == "/control":
            self._update(request)
        elif path == "/control/links":
            self._report(request)
        else:
            raise AnswerError(status=404, code="not_found", message=path)

    def _update(self, request):
        document = read_json(request)
        patterns = document.pop("links", ["*"])
        changed = [
            name
            for name in self.links
            if any(fnmatchcase(name, pattern) for pattern in patterns)
        ]
        for name in changed:
            self.links[name].update(document)
        send_json(request, {"changed": changed})

    def _report(self, request):
        report = {
            name: link.to_document() for name, link in self.links.items()
        }
        send_json(request, report)
