"""Validation of the lines of an input file."""

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
    """Validates the lines of an input file and collects URLs and models.

    Attributes
    ----------
    items : int
        Number of items so far; blank lines are not counted.
    urls, models : list of str
        Distinct URL paths and models of the items, in order of appearance;
        `finish` clears `models` if there are more than `MAX_MODELS`.
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
            True if the line contains an item, False if it is blank.

        Raises
        ------
        InputLineError
            The line is not a valid item; the message contains its number.
        """
        self.line += 1
        if not content.strip():
            return False
        item = self.parse(content)
        self.check_item(item)
        self.items += 1
        if self.items > MAX_ITEMS:
            self.fail(f"the file contains more than {MAX_ITEMS} items")
        self.identifiers.add(item["custom_id"], line=self.line)
        return True

    def parse(self, content):
        try:
            item = json.loads(content)
        except (ValueError, RecursionError):
            self.fail("invalid JSON")
        if not isinstance(item, dict):
            self.fail("not a JSON object")
        return item

    def check_item(self, item):
        identifier = item.get("custom_id")
        if not isinstance(identifier, str) or not identifier:
            self.fail("custom_id is missing or not a string")
        if len(identifier) > MAX_IDENTIFIER_CHARACTERS:
            self.fail("custom_id is too long")
        if item.get("method") != METHOD:
            self.fail(f"method is not {METHOD}")
        if not isinstance(item.get("body"), dict):
            self.fail("body is missing or not an object")
        url = item.get("url")
        if not isinstance(url, str):
            self.fail("url is missing or not a string")
        if url not in self.urls:
            if len(self.urls) == MAX_URLS:
                self.fail("the file contains too many different urls")
            self.urls.append(url)

        model = item["body"].get("model")
        if isinstance(model, str) and model not in self.models:
            # One model above the limit marks the list as incomplete.
            if len(self.models) <= MAX_MODELS:
                self.models.append(model)

    def finish(self):
        """Run the checks that need the whole file.

        Raises
        ------
        DuplicateItemError
            A custom_id occurs twice.
        InputLineError
            The file contains no items.
        """
        if not self.items:
            self.fail("the file contains no items")
        if len(self.models) > MAX_MODELS:
            self.models = []
        line = self.identifiers.find_duplicate()
        if line is not None:
            raise DuplicateItemError(
                f"line {line}: custom_id occurs in an earlier line",
                param="custom_id",
            )

    def fail(self, reason):
        raise InputLineError(f"line {self.line}: {reason}", param="file")
