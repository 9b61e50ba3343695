"""Run the measurements."""

from .cli import app

app()
