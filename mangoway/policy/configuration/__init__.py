"""Decides which configuration version a process applies."""
