"""Plain tables for the terminal."""

from collections.abc import Iterable, Sequence

GAP = "  "


def format_table(
    title: str, headings: Sequence[str], rows: Iterable[Sequence[str]]
) -> str:
    """Return a titled table with aligned columns, or a note if it has no rows."""
    lines = [tuple(row) for row in rows]
    if not lines:
        return f"{title}: none\n"
    widths = [
        max(len(line[column]) for line in (headings, *lines))
        for column in range(len(headings))
    ]
    body = [_format_line(line, widths) for line in (headings, *lines)]
    return "\n".join((title, *body)) + "\n"


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return GAP + GAP.join(padded).rstrip()
