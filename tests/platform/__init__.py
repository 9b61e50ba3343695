"""Tests of mangoway.platform."""
