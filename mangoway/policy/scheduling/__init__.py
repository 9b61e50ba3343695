"""Decides which runner serves which request, and which models the runners hold."""
