"""Garbage collector configuration."""

import gc


def freeze_startup_objects() -> None:
    """Exempt all objects that exist now from later garbage collections.

    Modules and classes exist as long as the process, and a full collection that
    traverses them blocks the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
