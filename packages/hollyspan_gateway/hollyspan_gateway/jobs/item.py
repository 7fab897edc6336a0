"""Items of jobs and their results."""

__all__ = ["Item", "ItemResult"]


class Item:
    """One request of a job.

    Parameters
    ----------
    identifier : str
    path : str
    headers : list of (str, str) or None
        None where they are not kept.
    body : bytes or None
        None where it is not kept.
    tokens : int, optional
        Tokens of its prompt and its longest output.

    Attributes
    ----------
    body_bytes : int
        Length of the body, also where it is not kept.
    """

    __slots__ = (
        "identifier",
        "path",
        "headers",
        "body",
        "body_bytes",
        "tokens",
    )

    def __init__(self, *, identifier, path, headers, body, tokens=0):
        self.identifier = identifier
        self.path = path
        self.headers = headers
        self.body = body
        self.body_bytes = 0 if body is None else len(body)
        self.tokens = tokens

    def copy_without_body(self):
        """Return the item without its headers and its body."""
        item = Item(
            identifier=self.identifier,
            path=self.path,
            headers=None,
            body=None,
            tokens=self.tokens,
        )
        item.body_bytes = self.body_bytes
        return item


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
