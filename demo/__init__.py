"""Demo of the whole system on loopback with injected failures."""
