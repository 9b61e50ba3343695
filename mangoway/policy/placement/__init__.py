"""Decisions about memory: ledgers, copies, load orders."""
