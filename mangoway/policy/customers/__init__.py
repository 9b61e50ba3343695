"""Decides what customers may still ask for."""
