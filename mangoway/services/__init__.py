"""Client of plain services."""
