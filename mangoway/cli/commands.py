"""Registry of commands; modules register their commands when they are imported."""

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
"""Modules of this package, each of which has the name of the command it registers."""

_registrations: dict[str, Callable[[typer.Typer], object]] = {}


def register_group(name: str, group: typer.Typer, help_text: str) -> None:
    """Register a group of commands, such as `mangoway config ...`."""
    _registrations[name] = lambda app: app.add_typer(group, name=name, help=help_text)


def register_command(name: str, command: Callable[..., None]) -> None:
    """Register a single command; its docstring is its help."""
    _registrations[name] = lambda app: app.command(name)(command)


def add_commands(app: typer.Typer, wanted: str | None) -> None:
    """Add the commands to an app, or only the wanted one if it is named.

    Only the modules of added commands are imported, so that a controller does not load
    the modules of a gateway.
    """
    names = (wanted,) if wanted in MODULES else MODULES
    for name in names:
        import_module(f"{__package__}.{name}")
    for name in names:
        _registrations[name](app)
