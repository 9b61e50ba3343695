"""Short constructor of store revisions for tests."""

from mangoway.coordination.store import StoreRevision


def at(number: int, era: int = 0) -> StoreRevision:
    """Return a revision of the store."""
    return StoreRevision(era, number)
