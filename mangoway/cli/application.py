"""Program `mangoway`: runs a command and sets the exit code."""

import sys
from collections.abc import Sequence
from typing import Final, NoReturn

import typer
from typer._click.exceptions import ClickException

from ..models.errors import MangowayError
from ..settings.errors import SettingError
from .commands import add_commands

PROGRAM: Final = "mangoway"
EXIT_FAILED: Final = 1
EXIT_BAD_SETTING: Final = 2


def main(arguments: Sequence[str] | None = None) -> NoReturn:
    """Run a command and exit: 0 success, 1 failure, 2 bad flag or setting.

    Commands may return other exit codes.
    """
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    app = _make_app(command_line)
    try:
        result = app(args=command_line, prog_name=PROGRAM, standalone_mode=False)
    except ClickException as error:
        _exit(EXIT_BAD_SETTING, error.format_message())
    except SettingError as error:
        _exit(EXIT_BAD_SETTING, str(error))
    except MangowayError as error:
        _exit(EXIT_FAILED, str(error))
    except OSError as error:
        # For example, an address to listen on is in use or is not one of this host.
        _exit(EXIT_FAILED, error.strerror or str(error))
    except (typer.Abort, KeyboardInterrupt):
        _exit(EXIT_FAILED, "aborted")
    sys.exit(result if isinstance(result, int) else 0)


def _make_app(arguments: Sequence[str]) -> typer.Typer:
    app = typer.Typer(
        name=PROGRAM,
        help="Serve many models on fewer accelerators.",
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
    # Without a callback, typer omits the command's name if only one is added.
    app.callback()(_group)
    add_commands(app, arguments[0] if arguments else None)
    return app


def _group() -> None:
    """Serve many models on fewer accelerators."""


def _exit(code: int, message: str) -> NoReturn:
    line = " ".join(message.split())
    print(f"{PROGRAM}: {line}", file=sys.stderr)
    sys.exit(code)
