"""Simple policies that the project's own is compared with."""

from .dispatch import SimpleDispatch
from .placement import SimplePlacement

__all__ = ["SimpleDispatch", "SimplePlacement"]
