"""Fair sharing of capacity among customers, callers or other parties."""
