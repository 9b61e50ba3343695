"""Measures what the scheduling core spends on a request, by the size of its fleet."""
