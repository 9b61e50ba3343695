"""Measurement of the scheduling core's processor time by size of the fleet."""
