"""The callers of the system and the HTTP interface for them."""
