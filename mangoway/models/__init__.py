"""Typed data shared by all packages."""
