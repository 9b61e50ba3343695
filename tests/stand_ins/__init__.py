"""Small stand-ins for the system's peers, startable as processes."""
