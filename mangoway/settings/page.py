"""The page of all settings, made from their descriptions."""

import attrs

from .options import describe, name_flag, name_variable
from .process import ControllerSettings, GatewaySettings

HEADING = """\
# Settings

Each setting is a flag or an environment variable; the flag goes first. A bad or
missing one ends the process at its start with exit code 2 and one line that names
it. This page is written by `script/generate` from `mangoway/settings/process.py`.

| flag | variable | process | meaning |
|---|---|---|---|
"""


def render_settings() -> str:
    """Return the page in Markdown."""
    gateway = {each.name: each for each in attrs.fields(GatewaySettings)}
    controller = {each.name: each for each in attrs.fields(ControllerSettings)}
    rows: list[str] = []
    for name, each in {**gateway, **controller}.items():
        owner = "both"
        if name not in controller:
            owner = "gateway"
        if name not in gateway:
            owner = "controller"
        rows.append(
            f"| `{name_flag(name)}` | `{name_variable(name)}` | {owner} "
            f"| {describe(each)} |\n"
        )
    return HEADING + "".join(rows)
