"""The page of all events, made from their registry."""

# Importing them registers events.
from . import events, fleet_events, library_log  # noqa: F401
from .event_log import EventSpec, list_specs

HEADING = """\
# Events

Each line on standard output is one JSON object with `event` (the number),
`message_type` (the name), `level`, `host`, `role`, `timestamp` (seconds since the
epoch) and the fields below. Of one kind of event, at most 20 lines a second are
written after a burst of 200; the next line says in `suppressed` how many were left
out. This page is written by `script/generate` from
`mangoway/observability/events.py`; a test holds it against the code. Numbers are
never given to another event.

| number | name | level | meaning | fields |
|---|---|---|---|---|
"""


def render_catalogue() -> str:
    """Return the page in Markdown."""
    return HEADING + "".join(_render_row(spec) for spec in list_specs())


def _render_row(spec: EventSpec) -> str:
    fields = ", ".join(f"`{name}`" for name in spec.fields)
    return (
        f"| {spec.number} | {spec.name} | {spec.level.name} "
        f"| {spec.meaning} | {fields} |\n"
    )
