"""Decides which requests make their runners crash, and are sent to none any more."""
