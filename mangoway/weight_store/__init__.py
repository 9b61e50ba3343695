"""The limits of the platform's weight store."""
