"""Tests of mangoway.coordination."""
