"""Tests of text tables."""

from hollyspan_operator.output import format_table


def test_columns_are_as_wide_as_their_widest_cell():
    table = format_table(["job", "left"], [["batch_1", 0.123456], ["b", None]])
    assert table.splitlines() == [
        "job      left",
        "batch_1  0.1235",
        "b        -",
    ]


def test_a_table_without_rows_has_its_headings():
    assert format_table(["job", "left"], []) == "job  left"
