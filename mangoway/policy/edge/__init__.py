"""Decisions of an edge about the requests that it has received."""
