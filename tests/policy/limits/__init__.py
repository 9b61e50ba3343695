"""Tests of keeping to runners' limits."""
