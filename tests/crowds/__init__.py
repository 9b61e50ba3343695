"""Tests of crowds of clients that keep to no limits, against the real programs."""
