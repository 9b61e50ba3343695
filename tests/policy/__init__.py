"""Tests of the decision cores."""
