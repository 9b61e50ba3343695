"""Measurement of the latency and processor time that a gateway adds to a request."""
