"""Enforces the quotas of customers."""
