"""Definition of settings as fields of attrs classes.

The flag, environment variable, default, help text and validation of a setting are
derived from its field.
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
    """Return the attrs field of a setting.

    Args:
        parse: Converts the text of the flag or variable to the value; raises
            `ValueError` with the reason if it is invalid.
        help_text: Help of the flag.
        default: Default value; without it the setting is required.
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
    """Create settings from flags, or from the environment where a flag is not given.

    Args:
        cls: Class of the settings.
        flags: Text of each flag by the name of its field; None if it is not given.
        environment: Environment variables; those of the process by default.

    Raises:
        SettingError: If a setting is missing or invalid; it names the setting.
    """
    variables = os.environ if environment is None else environment
    values: dict[str, Any] = {}
    for attribute in attrs.fields(cls):  # type: ignore[arg-type]
        text, source = _find_text(attribute.name, flags, variables)
        if text is not None:
            values[attribute.name] = _parse(attribute, text, source)
        elif attribute.default is attrs.NOTHING:
            raise SettingError(
                name_flag(attribute.name),
                f"must be given (or {name_variable(attribute.name)} set)",
            )
    return cls(**values)


def _find_text(
    name: str, flags: Mapping[str, str | None], variables: Mapping[str, str]
) -> tuple[str | None, str]:
    text = flags.get(name)
    if text is not None:
        return text, name_flag(name)
    return variables.get(name_variable(name)), name_variable(name)


def _parse(attribute: "attrs.Attribute[Any]", text: str, source: str) -> Any:
    try:
        return attribute.metadata[METADATA_PARSE](text)
    except ValueError as error:
        raise SettingError(source, f"{error}, not {text!r}") from error


def make_command(
    cls: type[SettingsT], run: Callable[[SettingsT], None], help_text: str
) -> Callable[..., None]:
    """Return a typer command with a flag for each setting of a class."""

    def command(**flags: str | None) -> None:
        run(parse_settings(cls, flags))

    parameters = [_make_parameter(attribute) for attribute in attrs.fields(cls)]  # type: ignore[arg-type]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {
        attribute.name: attribute.annotation for attribute in parameters
    }
    command.__doc__ = help_text
    return command


def _make_parameter(attribute: "attrs.Attribute[Any]") -> inspect.Parameter:
    option = typer.Option(
        name_flag(attribute.name),
        help=f"{describe_setting(attribute)} [{name_variable(attribute.name)}]",
        show_default=False,
    )
    return inspect.Parameter(
        attribute.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def describe_setting(attribute: "attrs.Attribute[Any]") -> str:
    """Return the help text of a setting, including its default."""
    help_text = str(attribute.metadata[METADATA_HELP])
    if attribute.default is attrs.NOTHING:
        return f"{help_text} Must be given."
    if attribute.default in (None, "", ()):
        return help_text
    return (
        f"{help_text} Default: {getattr(attribute.default, 'name', attribute.default)}."
    )
