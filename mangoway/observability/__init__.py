"""Events, metrics and traces."""
