"""Decision cores without I/O."""
