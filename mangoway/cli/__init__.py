"""The command line."""

from .application import main

__all__ = ["main"]
