"""All modules whose measurements are registered, in the order of the page."""

from . import dispatch, documents, heartbeats, memory, path_costs, platform, spread

__all__ = [
    "dispatch",
    "documents",
    "heartbeats",
    "memory",
    "path_costs",
    "platform",
    "spread",
]
