"""Passes over the failures listed in KNOWN-RED.txt and prints them."""

from pathlib import Path

from hypothesis import settings
import pytest

# The verdict depends neither on the machine's load nor on chance.
settings.register_profile("seeded", deadline=None, derandomize=True)
settings.load_profile("seeded")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the test ids listed in KNOWN-RED.txt, one per entry.

    Returns
    -------
    set of str
        The ids from the lines that start with ``test:``.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.split(":", 1)[1].strip()
        for line in lines
        if line.startswith("test:")
    }


def pytest_collection_modifyitems(items):
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )


def pytest_terminal_summary(terminalreporter):
    for nodeid in sorted(read_known_red()):
        terminalreporter.write_line(f"known red: {nodeid}")
