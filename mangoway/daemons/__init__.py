"""The processes of the system."""
