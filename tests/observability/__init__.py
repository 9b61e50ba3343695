"""Tests of the package observability."""
