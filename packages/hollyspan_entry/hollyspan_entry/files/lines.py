"""Checking of the lines of an input file."""

import json

from hollyspan_core.errors import DuplicateItemError
from hollyspan_core.errors import InputLineError

from .identifiers import IdentifierTable

__all__ = ["LineChecker"]

MAX_ITEMS = 1_000_000
MAX_URLS = 16
MAX_MODELS = 16
MAX_IDENTIFIER_CHARACTERS = 512
METHOD = "POST"


class LineChecker:
    """Checks each line of an input file.

    Attributes
    ----------
    items : int
        Items seen so far; blank lines are none.
    urls, models : list of str
        Paths that the items ask for and models that they name, in order of
        appearance; `models` is empty when there are too many.
    """

    __slots__ = ("items", "urls", "models", "line", "identifiers")

    def __init__(self):
        self.items = 0
        self.urls = []
        self.models = []
        self.line = 0
        self.identifiers = IdentifierTable()

    def check(self, content):
        """Check the next line.

        Parameters
        ----------
        content : bytes

        Returns
        -------
        bool
            True when the line holds an item, False when it is blank.

        Raises
        ------
        InputLineError
            The line is no valid item; the message holds its number.
        """
        self.line += 1
        if not content.strip():
            return False
        item = self.parse(content)
        self.check_item(item)
        self.items += 1
        if self.items > MAX_ITEMS:
            self.fail(f"the file holds more than {MAX_ITEMS} items")
        self.identifiers.add(item["custom_id"], line=self.line)
        return True

    def parse(self, content):
        try:
            item = json.loads(content)
        except (ValueError, RecursionError):
            self.fail("no valid JSON")
        if not isinstance(item, dict):
            self.fail("no JSON object")
        return item

    def check_item(self, item):
        identifier = item.get("custom_id")
        if not isinstance(identifier, str) or not identifier:
            self.fail("custom_id is missing or no string")
        if len(identifier) > MAX_IDENTIFIER_CHARACTERS:
            self.fail("custom_id is too long")
        if item.get("method") != METHOD:
            self.fail(f"method is not {METHOD}")
        if not isinstance(item.get("body"), dict):
            self.fail("body is missing or no object")
        url = item.get("url")
        if not isinstance(url, str):
            self.fail("url is missing or no string")
        if url not in self.urls:
            if len(self.urls) == MAX_URLS:
                self.fail("the file holds too many different urls")
            self.urls.append(url)

        model = item["body"].get("model")
        if isinstance(model, str) and model not in self.models:
            # One more than the limit says that the list is not whole.
            if len(self.models) <= MAX_MODELS:
                self.models.append(model)

    def finish(self):
        """Check what can be checked at the end only.

        Raises
        ------
        DuplicateItemError
            A custom_id stands twice.
        InputLineError
            The file holds no item.
        """
        if not self.items:
            self.fail("the file holds no item")
        if len(self.models) > MAX_MODELS:
            self.models = []
        line = self.identifiers.find_duplicate()
        if line is not None:
            raise DuplicateItemError(
                f"line {line}: custom_id stands in an earlier line",
                param="custom_id",
            )

    def fail(self, reason):
        raise InputLineError(f"line {self.line}: {reason}", param="file")
