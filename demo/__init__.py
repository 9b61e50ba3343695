"""The whole system on loopback, with failures on the way."""
