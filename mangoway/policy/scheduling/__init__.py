"""Decides which runner gets which request, and which models the runners hold."""
