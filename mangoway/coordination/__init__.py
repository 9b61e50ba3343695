"""Coordination of processes through the store: membership, leadership, fleet view."""
