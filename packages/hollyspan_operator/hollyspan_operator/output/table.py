"""Formatting of text tables."""

__all__ = ["format_table"]


def format_table(headings, rows):
    """Format rows as a table with headings and aligned columns.

    Parameters
    ----------
    headings : list of str
    rows : list of list of object

    Returns
    -------
    str

    Examples
    --------
    >>> print(format_table(["a", "b"], [[1, "xyz"]]))
    a  b
    1  xyz
    """
    cells = [headings] + [[format_cell(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def format_cell(cell):
    if cell is None:
        return "-"
    if isinstance(cell, float):
        return f"{cell:.4g}"
    return str(cell)
