"""Settings described once, on the fields of attrs classes.

The same description gives the flag, the environment variable, the default, the help
and the check.
"""

import inspect
import os
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Final, TypeVar

import attrs
import typer

from .errors import SettingError

ENVIRONMENT_PREFIX: Final = "MANGOWAY_"
METADATA_PARSE: Final = "parse"
METADATA_HELP: Final = "help"

SettingsT = TypeVar("SettingsT")


def setting(
    parse: Callable[[str], Any], help_text: str, default: Any = attrs.NOTHING
) -> Any:
    """Describe one setting; without a default it must be given.

    `parse` turns the text of a flag or variable into the value and raises
    `ValueError` with the reason.
    """
    return attrs.field(
        default=default,
        kw_only=True,
        metadata={METADATA_PARSE: parse, METADATA_HELP: help_text},
    )


def name_flag(field: str) -> str:
    """Return the flag of a field."""
    return "--" + field.replace("_", "-")


def name_variable(field: str) -> str:
    """Return the environment variable of a field."""
    return ENVIRONMENT_PREFIX + field.upper()


def parse_settings(
    cls: type[SettingsT],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str] | None = None,
) -> SettingsT:
    """Make settings from flags, and from the environment where a flag is missing.

    Raises:
        SettingError: If a setting is missing or bad; it names the setting.
    """
    variables = os.environ if environment is None else environment
    values: dict[str, Any] = {}
    for each in attrs.fields(cls):  # type: ignore[arg-type]
        text, source = _find_text(each.name, flags, variables)
        if text is not None:
            values[each.name] = _parse(each, text, source)
        elif each.default is attrs.NOTHING:
            raise SettingError(
                name_flag(each.name),
                f"must be given (or {name_variable(each.name)} set)",
            )
    return cls(**values)


def _find_text(
    name: str, flags: Mapping[str, str | None], variables: Mapping[str, str]
) -> tuple[str | None, str]:
    text = flags.get(name)
    if text is not None:
        return text, name_flag(name)
    return variables.get(name_variable(name)), name_variable(name)


def _parse(each: "attrs.Attribute[Any]", text: str, source: str) -> Any:
    try:
        return each.metadata[METADATA_PARSE](text)
    except ValueError as error:
        raise SettingError(source, f"{error}, not {text!r}") from error


def make_command(
    cls: type[SettingsT], run: Callable[[SettingsT], None], help_text: str
) -> Callable[..., None]:
    """Make a typer command with one flag for each setting of a class."""

    def command(**flags: str | None) -> None:
        run(parse_settings(cls, flags))

    parameters = [_make_parameter(each) for each in attrs.fields(cls)]  # type: ignore[arg-type]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {each.name: each.annotation for each in parameters}
    command.__doc__ = help_text
    return command


def _make_parameter(each: "attrs.Attribute[Any]") -> inspect.Parameter:
    option = typer.Option(
        name_flag(each.name),
        help=f"{describe(each)} [{name_variable(each.name)}]",
        show_default=False,
    )
    return inspect.Parameter(
        each.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def describe(each: "attrs.Attribute[Any]") -> str:
    """Return the help of a setting with its default."""
    help_text = str(each.metadata[METADATA_HELP])
    if each.default is attrs.NOTHING:
        return f"{help_text} Must be given."
    if each.default in (None, "", ()):
        return help_text
    return f"{help_text} Default: {getattr(each.default, 'name', each.default)}."
