"""First parts of records that wait to be read."""

__all__ = ["Arrivals"]


class Arrivals:
    """Keeps first parts of records, as far as they fit under a limit.

    Parameters
    ----------
    limit : int
        Bytes.

    Attributes
    ----------
    contents : dict
        First part by the job's identifier.
    held_bytes : int
    """

    __slots__ = ("limit", "contents", "held_bytes")

    def __init__(self, *, limit):
        self.limit = limit
        self.contents = {}
        self.held_bytes = 0

    def add(self, identifier, content):
        """Keep the first part of a record if there is room."""
        self.take(identifier)
        if self.held_bytes + len(content) <= self.limit:
            self.contents[identifier] = content
            self.held_bytes += len(content)

    def take(self, identifier):
        """Return the first part of a record, None if it is not kept."""
        content = self.contents.pop(identifier, None)
        if content is not None:
            self.held_bytes -= len(content)
        return content

    def drop_all_but(self, identifiers):
        """Drop the parts of the jobs that are not among some."""
        for identifier in [
            each for each in self.contents if each not in identifiers
        ]:
            self.take(identifier)
