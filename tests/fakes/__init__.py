"""Small fakes at the interfaces, in virtual time."""
