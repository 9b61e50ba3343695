"""Simple policies for comparison with the policy of this project."""

from .dispatch import SimpleDispatch
from .placement import SimplePlacement

__all__ = ["SimpleDispatch", "SimplePlacement"]
