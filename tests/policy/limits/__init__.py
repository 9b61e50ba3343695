"""Tests of the enforcement of runners' rate limits."""
