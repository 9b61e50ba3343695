"""HTTP interface for the callers of the system."""
