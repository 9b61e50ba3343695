"""Shares the capacity of plain services among the edges while it is short."""
