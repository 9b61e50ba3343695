"""Settings of a process, from flags and environment variables."""
