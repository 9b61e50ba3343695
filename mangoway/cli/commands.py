"""The registry of commands; each module of commands adds itself with one line."""

from collections.abc import Callable
from importlib import import_module
from typing import Final

import typer

MODULES: Final = (
    "gateway",
    "controller",
    "edge",
    "scheduler",
    "status",
    "explain",
    "losses",
    "config",
)
"""Modules of this package that hold commands, by the name of their command."""

_registrations: dict[str, Callable[[typer.Typer], object]] = {}


def register_group(name: str, group: typer.Typer, help_text: str) -> None:
    """Add a group of commands, such as `mangoway config ...`."""
    _registrations[name] = lambda app: app.add_typer(group, name=name, help=help_text)


def register_command(name: str, command: Callable[..., None]) -> None:
    """Add a single command; its docstring is its help."""
    _registrations[name] = lambda app: app.command(name)(command)


def add_commands(app: typer.Typer, wanted: str | None) -> None:
    """Add the commands; only the wanted module is imported if one is named.

    A controller must not pay for the imports of a gateway.
    """
    names = (wanted,) if wanted in MODULES else MODULES
    for name in names:
        import_module(f"{__package__}.{name}")
    for name in names:
        _registrations[name](app)
