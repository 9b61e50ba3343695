"""Measure how costs grow by size, and work out each role at the target size."""

import sys
import time
from pathlib import Path
from typing import Annotated

import typer

from ..report import write_section
from .figures import take_figures
from .page import build_page


def main(
    pages: Annotated[Path, typer.Option(help="Folder of the pages.")] = Path("docs"),
    write: Annotated[bool, typer.Option(help="Write the page.")] = True,
) -> None:
    """Measure how costs grow by size, and work out each role at the target size."""
    began = time.monotonic()
    figures = take_figures(lambda line: print(line, file=sys.stderr))
    print(f"{time.monotonic() - began:.0f} s", file=sys.stderr)
    tables = build_page(figures)
    print(tables)
    if write:
        write_section(pages / "CAPACITY.md", tables)


if __name__ == "__main__":
    typer.run(main)
