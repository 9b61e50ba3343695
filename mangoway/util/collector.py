"""Settings of the garbage collector."""

import gc


def freeze_startup_objects() -> None:
    """Keep what the start has made out of later collections.

    Modules and classes live as long as the process, and a full collection that goes
    through them stops the loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
