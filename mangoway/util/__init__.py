"""Small aids that several packages share."""
