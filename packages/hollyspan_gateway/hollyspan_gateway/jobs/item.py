"""Items of jobs and their results."""

__all__ = ["Item", "ItemResult"]


class Item:
    """One request of a job.

    Parameters
    ----------
    identifier : str
    path : str
    headers : list of (str, str)
    body : bytes
    tokens : int, optional
        Tokens of its prompt and its longest output.
    """

    __slots__ = ("identifier", "path", "headers", "body", "tokens")

    def __init__(self, *, identifier, path, headers, body, tokens=0):
        self.identifier = identifier
        self.path = path
        self.headers = headers
        self.body = body
        self.tokens = tokens


class ItemResult:
    """Final result of an item.

    Parameters
    ----------
    identifier : str
    is_done : bool
        False for an item that was given up.
    output : bytes
        Data of all events, separated by line feeds; empty for an item that
        was given up.
    """

    __slots__ = ("identifier", "is_done", "output")

    def __init__(self, *, identifier, is_done, output):
        self.identifier = identifier
        self.is_done = is_done
        self.output = output
