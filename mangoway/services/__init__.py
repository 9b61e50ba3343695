"""The client side of plain services."""
