"""Tests of mangoway.daemons."""
