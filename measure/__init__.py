"""Measurements of the policy and of the processes."""
