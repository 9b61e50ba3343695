"""The page of all settings, made from their descriptions."""

import attrs

from .fleet import EdgeSettings, SchedulerSettings
from .options import describe, name_flag, name_variable
from .process import ControllerSettings, GatewaySettings

HEADING = """\
# Settings

Each setting is a flag or an environment variable; the flag goes first. A bad or
missing one ends the process at its start with exit code 2 and one line that names
it. This page is written by `script/generate` from `mangoway/settings`.

| flag | variable | process | meaning |
|---|---|---|---|
"""


FLEET_HEADING = """
## Edge and scheduler

| flag | variable | process | meaning |
|---|---|---|---|
"""


def render_settings() -> str:
    """Return the page in Markdown."""
    return (
        HEADING
        + _render_rows({"gateway": GatewaySettings, "controller": ControllerSettings})
        + FLEET_HEADING
        + _render_rows({"edge": EdgeSettings, "scheduler": SchedulerSettings})
    )


def _render_rows(processes: dict[str, type]) -> str:
    """Return a row for each setting of two processes that share some."""
    fields = {
        process: {each.name: each for each in attrs.fields(cls)}
        for process, cls in processes.items()
    }
    merged = {name: each for named in fields.values() for name, each in named.items()}
    rows: list[str] = []
    for name, each in merged.items():
        owners = [process for process, named in fields.items() if name in named]
        owner = owners[0] if len(owners) == 1 else "both"
        rows.append(
            f"| `{name_flag(name)}` | `{name_variable(name)}` | {owner} "
            f"| {describe(each)} |\n"
        )
    return "".join(rows)
