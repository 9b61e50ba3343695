"""Deltas of documents, so that edits spread without sending whole documents."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from difflib import SequenceMatcher

from attrs import evolve, frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion
from .bundle import BASE, ConfigurationBundle, PartName, digest_text, name_overlay
from .const import MAX_DIFF_LINES


@frozen(kw_only=True)
class Hunk:
    """Replacement of lines; line numbers are those of the old text, from 0."""

    start: int
    removed: int
    inserted: tuple[str, ...] = ()


@frozen
class Anchor:
    """Line numbers of a line that is unique in both the old and the new text."""

    old: int
    new: int


@frozen(kw_only=True)
class ConfigurationDelta:
    """Change of one part from the previous version to `version`."""

    version: ConfigVersion
    part: PartName
    hunks: tuple[Hunk, ...]
    digest: str
    """Digest of the part's text after the change."""


def make_delta(
    part: PartName, version: ConfigVersion, old: str, new: str
) -> ConfigurationDelta:
    """Return the delta from an old text of a part to a new one."""
    hunks = tuple(_diff_lines(old.split("\n"), new.split("\n"), 0))
    return ConfigurationDelta(
        version=version, part=part, hunks=hunks, digest=digest_text(new)
    )


def apply_delta(
    bundle: ConfigurationBundle, delta: ConfigurationDelta, site: str
) -> ConfigurationBundle:
    """Return the bundle of a site after a delta.

    A delta of another site's overlay changes only the version.

    Raises:
        MangowayError: CONFIG_CONFLICT if the delta is not of the version after the
            bundle's, or the digest differs; whole documents must be fetched then.
    """
    if delta.version != bundle.version + 1:
        detail = f"version {delta.version} does not follow {bundle.version}"
        raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail)
    if delta.part not in (BASE, name_overlay(site)):
        return evolve(bundle, version=delta.version)
    text = _apply_hunks(bundle.find_text(delta.part), delta.hunks)
    if digest_text(text) != delta.digest:
        detail = f"digest of {delta.part} differs at version {delta.version}"
        raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail)
    return bundle.replace_part(delta.part, text, delta.version)


def _apply_hunks(text: str, hunks: tuple[Hunk, ...]) -> str:
    lines = text.split("\n")
    for hunk in reversed(hunks):
        lines[hunk.start : hunk.start + hunk.removed] = hunk.inserted
    return "\n".join(lines)


def _diff_lines(old: list[str], new: list[str], offset: int) -> Iterator[Hunk]:
    """Yield the changes from old to new lines; `offset` is the number of the first."""
    start = _count_common(old, new)
    rest_old, rest_new = old[start:], new[start:]
    tail = _count_common(rest_old[::-1], rest_new[::-1])
    middle_old = rest_old[: len(rest_old) - tail]
    middle_new = rest_new[: len(rest_new) - tail]
    if not middle_old and not middle_new:
        return
    start += offset
    if max(len(middle_old), len(middle_new)) > MAX_DIFF_LINES:
        yield from _diff_between_anchors(middle_old, middle_new, start)
        return
    matcher = SequenceMatcher(a=middle_old, b=middle_new, autojunk=False)
    for tag, from_old, to_old, from_new, to_new in matcher.get_opcodes():
        if tag != "equal":
            yield Hunk(
                start=start + from_old,
                removed=to_old - from_old,
                inserted=tuple(middle_new[from_new:to_new]),
            )


def _diff_between_anchors(
    old: list[str], new: list[str], offset: int
) -> Iterator[Hunk]:
    """Yield the changes of a long region, split at lines that are unique in both.

    Table headers are such lines. Without any, the whole region is replaced.
    """
    anchors = _find_anchors(old, new)
    if not anchors:
        yield Hunk(start=offset, removed=len(old), inserted=tuple(new))
        return
    from_old = from_new = 0
    for anchor in (*anchors, Anchor(len(old), len(new))):
        part_old, part_new = old[from_old : anchor.old], new[from_new : anchor.new]
        yield from _diff_lines(part_old, part_new, offset + from_old)
        from_old, from_new = anchor.old + 1, anchor.new + 1


def _find_anchors(old: list[str], new: list[str]) -> list[Anchor]:
    """Return the longest sequence of unique common lines in the same order in both."""
    old_counts, new_counts = Counter(old), Counter(new)
    positions = {
        line: position for position, line in enumerate(new) if new_counts[line] == 1
    }
    common = [
        Anchor(position, positions[line])
        for position, line in enumerate(old)
        if old_counts[line] == 1 and line in positions
    ]
    # Longest increasing subsequence of the new line numbers. Of all sequences of n + 1
    # anchors so far, tail_lines[n] is the lowest last line number, and tail_indexes[n]
    # the index of its anchor in `common`.
    tail_lines: list[int] = []
    tail_indexes: list[int] = []
    predecessors: list[int | None] = []
    for index, anchor in enumerate(common):
        length = bisect_left(tail_lines, anchor.new)
        predecessors.append(tail_indexes[length - 1] if length else None)
        tail_lines[length : length + 1] = [anchor.new]
        tail_indexes[length : length + 1] = [index]
    subsequence: list[Anchor] = []
    cursor = tail_indexes[-1] if tail_indexes else None
    while cursor is not None:
        subsequence.append(common[cursor])
        cursor = predecessors[cursor]
    return subsequence[::-1]


def _count_common(left: list[str], right: list[str]) -> int:
    """Return the number of equal lines at the start of both lists."""
    count = 0
    for one, other in zip(left, right, strict=False):
        if one != other:
            break
        count += 1
    return count
