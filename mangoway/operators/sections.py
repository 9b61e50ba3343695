"""Incremental parsing of a base file, which parses only changed sections.

A base file of 1,400 models takes a quarter of a second to parse as a whole, too much
for a process that follows an edit every two seconds. Therefore the text is split at
its table headers into sections, one for each named entry. Each section is a valid
document, and only sections whose text is new are parsed.
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import pairwise
from re import MULTILINE
from re import compile as compile_pattern
from typing import Final, TypeVar

from attrs import define, field

from ..models.errors import MangowayError
from .const import BASE_FILE
from .documents import BaseDocument
from .parser import parse_base

NameT = TypeVar("NameT")
OfferT = TypeVar("OfferT")

HEADER: Final = compile_pattern(r"\[\[?\s*([A-Za-z0-9_-]+)(?:\.([A-Za-z0-9_-]+))?")
"""Start of a table header with its first two keys, if they are bare keys."""

HEADER_LINE: Final = compile_pattern(r"^[ \t]*\[", MULTILINE)
"""Start of a line that may be a table header."""

MULTILINE_MARKS: Final = ('"""', "'''")
"""Delimiters of multi-line strings, which may contain lines that look like headers."""


class NotSeparable(Exception):
    """The text can't be parsed in sections; it must be parsed as a whole."""


@define
class SectionParser:
    """Incremental parser of successive texts of one base file."""

    _parsed: dict[str, BaseDocument] = field(factory=dict)

    def parse(self, text: str, file: str = BASE_FILE) -> BaseDocument:
        """Parse a base file; the result and errors are those of `parse_base`."""
        try:
            return self._parse_sections(text)
        except (NotSeparable, MangowayError):
            # The line number of an error in a section is wrong, and the text as a whole
            # may be valid.
            return parse_base(text, file)

    def _parse_sections(self, text: str) -> BaseDocument:
        known = self._parsed
        self._parsed = {}
        for section in split_sections(text):
            self._parsed[section] = known.get(section) or parse_base(section)
        return _join_documents(self._parsed.values())


def split_sections(text: str) -> Iterable[str]:
    """Return the sections of a base file; a section has all tables of an entry.

    Raises:
        NotSeparable: If a key precedes all tables, a string may span several lines, or
            a table header does not start with a bare key.
    """
    if any(mark in text for mark in MULTILINE_MARKS):
        raise NotSeparable
    starts = [match.start() for match in HEADER_LINE.finditer(text)]
    head = text[: starts[0]] if starts else text
    for line in head.split("\n"):
        if line.strip() and not line.lstrip().startswith("#"):
            raise NotSeparable
    sections: dict[tuple[str, str | None], list[str]] = {}
    for start, end in pairwise([*starts, len(text)]):
        sections.setdefault(_read_header(text, start), []).append(text[start:end])
    return ["\n".join(tables) for tables in sections.values()]


def _read_header(text: str, start: int) -> tuple[str, str | None]:
    """Return the first two keys of the table header at a position."""
    match = HEADER.match(text, start)
    if match is None:
        raise NotSeparable
    return match[1], match[2]


def _join_documents(documents: Iterable[BaseDocument]) -> BaseDocument:
    found = list(documents)
    default = BaseDocument().site
    sites = [document.site for document in found if document.site != default]
    if len(sites) > 1:
        raise NotSeparable
    return BaseDocument(
        models=_merge_disjoint(document.models for document in found),
        services=_merge_disjoint(document.services for document in found),
        callers=_merge_disjoint(document.callers for document in found),
        classes=_merge_disjoint(document.classes for document in found),
        runner_groups=tuple(
            group for document in found for group in document.runner_groups
        ),
        site=sites[0] if sites else default,
    )


def _merge_disjoint(tables: Iterator[Mapping[NameT, OfferT]]) -> dict[NameT, OfferT]:
    """Return the entries of all tables, of which no two may have the same name."""
    merged: dict[NameT, OfferT] = {}
    for table in tables:
        size = len(merged) + len(table)
        merged.update(table)
        if len(merged) != size:
            raise NotSeparable
    return merged
