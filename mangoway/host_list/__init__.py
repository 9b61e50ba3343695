"""The platform's list of live and leaving hosts."""
