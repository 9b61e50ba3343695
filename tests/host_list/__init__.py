"""Tests of the package host_list."""
