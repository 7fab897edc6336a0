import json

import pytest

from hollyspan_core.errors import DuplicateItemError
from hollyspan_core.errors import InputLineError
from hollyspan_entry.files.lines import LineChecker


def build_line(name, **changes):
    item = {
        "custom_id": name,
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": "m"},
    }
    return json.dumps({**item, **changes}).encode()


def test_items_are_counted_without_blank_lines():
    checker = LineChecker()
    assert checker.check(build_line("a"))
    assert not checker.check(b" \n")
    assert checker.check(build_line("b", url="/v1/chat/completions"))
    checker.finish()
    assert checker.items == 2
    assert checker.urls == ["/v1/completions", "/v1/chat/completions"]
    assert checker.models == ["m"]


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        build_line(""),
        build_line(7),
        build_line("a", method="GET"),
        build_line("a", url=None),
        build_line("a", body=[]),
    ],
)
def test_invalid_line_is_reported_by_number(line):
    checker = LineChecker()
    checker.check(build_line("first"))
    with pytest.raises(InputLineError, match="^line 2: "):
        checker.check(line)


def test_duplicate_is_reported_by_its_second_line():
    checker = LineChecker()
    for name in ["a", "b", "c", "b", "a"]:
        checker.check(build_line(name))
    with pytest.raises(DuplicateItemError, match="^line 4: "):
        checker.finish()


def test_file_without_items_is_refused():
    with pytest.raises(InputLineError):
        LineChecker().finish()
