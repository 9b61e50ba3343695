"""Keeps to the requests a second that runners say they take."""
