"""Measures the data path: what a gateway adds to a request, and what it costs."""
