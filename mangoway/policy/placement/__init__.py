"""Placement of models on runners: memory ledgers, copies and load orders."""
