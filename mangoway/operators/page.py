"""The page of the documents' keys, made from their types."""

import ast
import inspect
import textwrap
import types
import typing
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, Final

import attrs
from attrs import frozen

from ..models.offer import CallerOffer, ClassOffer, ModelOffer, SitePolicy
from .documents import (
    BaseDocument,
    CallerPatch,
    ClassPatch,
    ModelPatch,
    OverlayDocument,
    SitePatch,
)
from .merger import DEFAULT_CLASSES
from .ranges import RANGES

HEADING: Final = """\
# Configuration

All sites share one base file; each site has an overlay that changes only what it
names: there, a key with the default `none` is left as the base has it. Both are TOML.
Unknown keys, values of another type and numbers out of range are refused with the
file and the key. `<name>` stands for a name that you choose:
letters, digits, dots, dashes and underscores, up to 100. Examples are in `examples/`.
This page is written by `script/generate` from `mangoway/operators/documents.py`.

| command | does |
|---|---|
| `mangoway config check BASE [OVERLAY...]` | checks files together |
| `mangoway config apply base FILE` | puts a new base file in force |
| `mangoway config apply overlay/SITE FILE` | puts a new overlay in force |
| `mangoway config apply ... --wait` | returns when every live process has it |
| `mangoway config show [PART]` | shows the versions, or one document |
| `mangoway config history` | shows who edited what |
| `mangoway config status` | shows where the version is in force |

An empty overlay changes nothing. `--wait` names who lags if it gives up.

Exit codes: 0 done; 1 refused or failed; 2 bad flag; 3 another edit came first; 4
accepted but not in force everywhere in time; 5 not known whether it was accepted (run
the command again with the `--nonce` that it prints).
"""

TABLE_HEAD: Final = (
    "| key | type | unit | default | range | meaning |\n|---|---|---|---|---|---|\n"
)
UNITS: Final = {"_mb": "MB", "_per_second": "1/s", "_s": "s"}
TYPE_NAMES: Final = {
    int: "whole number",
    float: "number",
    str: "text",
    bool: "true or false",
}


PATCHED: Final[Mapping[type, type]] = {
    CallerPatch: CallerOffer,
    ClassPatch: ClassOffer,
    ModelPatch: ModelOffer,
    SitePatch: SitePolicy,
}
"""Types that explain the keys of an overlay's overrides."""


@frozen(kw_only=True)
class Key:
    """One key of a document."""

    path: str
    kind: str
    default: str
    meaning: str

    @property
    def name(self) -> str:
        """Return the last part of the path."""
        return self.path.rpartition(".")[2]

    @property
    def unit(self) -> str:
        """Return the unit, from the ending of the name."""
        ends = (unit for end, unit in UNITS.items() if self.name.endswith(end))
        return next(ends, "")

    def render(self) -> str:
        """Return the row of the key."""
        allowed = RANGES.get(self.name)
        return (
            f"| `{self.path}` | {self.kind} | {self.unit} | {self.default} "
            f"| {allowed or ''} | {self.meaning} |\n"
        )


def render_page() -> str:
    """Return the page in Markdown."""
    parts = [HEADING]
    for title, kind in (("Base file", BaseDocument), ("Overlay", OverlayDocument)):
        rows = "".join(key.render() for key in list_keys(kind))
        parts.append(f"\n## {title}\n\n{TABLE_HEAD}{rows}")
    parts.append("\n## Classes that the base file leaves out\n\n")
    parts += [
        f"- `{name.value}`: {_format_class(offer)}\n"
        for name, offer in DEFAULT_CLASSES.items()
    ]
    return "".join(parts)


def list_keys(kind: type, path: str = "") -> Iterator[Key]:
    """Yield every key of a document type, in the order of its fields."""
    meanings = _read_meanings(PATCHED.get(kind, kind))
    hints = typing.get_type_hints(kind)
    for each in attrs.fields(kind):
        inner = f"{path}{each.name}"
        yield from _list_value(hints[each.name], inner, each, meanings)


def _list_value(
    hint: Any, path: str, each: "attrs.Attribute[Any]", meanings: Mapping[str, str]
) -> Iterator[Key]:
    hint = _drop_none(hint)
    origin = typing.get_origin(hint)
    if origin is not None and issubclass(origin, Mapping):
        yield from _list_mapping(hint, path)
    elif origin is tuple:
        yield from list_keys(typing.get_args(hint)[0], f"{path}[].")
    elif attrs.has(hint):
        yield from list_keys(hint, f"{path}.")
    else:
        kind = _name_type(hint)
        default = _format_default(each.default)
        meaning = meanings.get(each.name, "")
        yield Key(path=path, kind=kind, default=default, meaning=meaning)


def _list_mapping(hint: Any, path: str) -> Iterator[Key]:
    name, value = typing.get_args(hint)
    is_enum = isinstance(name, type) and issubclass(name, Enum)
    names = [member.value for member in name] if is_enum else ["<name>"]
    for chosen in names:
        yield from list_keys(value, f"{path}.{chosen}.")


def _drop_none(hint: Any) -> Any:
    if typing.get_origin(hint) not in (types.UnionType, typing.Union):
        return hint
    return next(arg for arg in typing.get_args(hint) if arg is not type(None))


def _name_type(hint: Any) -> str:
    plain = getattr(hint, "__supertype__", hint)
    if isinstance(plain, type) and issubclass(plain, Enum):
        return " or ".join(f'"{member.value}"' for member in plain)
    return TYPE_NAMES[plain]


def _format_default(default: Any) -> str:
    if default is attrs.NOTHING:
        return "must be given"
    if default is None:
        return "none"
    if isinstance(default, bool):
        return str(default).lower()
    return str(default.value if isinstance(default, Enum) else default)


def _format_class(offer: ClassOffer) -> str:
    values = attrs.asdict(offer).items()
    return ", ".join(
        f"`{name} = {value}`" for name, value in values if value is not None
    )


def _read_meanings(kind: type) -> dict[str, str]:
    """Return the doc comment below each field, in one line."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(kind))).body[0]
    assert isinstance(tree, ast.ClassDef)
    meanings: dict[str, str] = {}
    for statement, after in zip(tree.body, tree.body[1:], strict=False):
        if not isinstance(statement, ast.AnnAssign) or not isinstance(after, ast.Expr):
            continue
        if isinstance(statement.target, ast.Name):
            text = ast.literal_eval(after.value)
            meanings[statement.target.id] = " ".join(str(text).split())
    return meanings
