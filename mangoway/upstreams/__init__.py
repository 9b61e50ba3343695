"""What the clients of engines and plain services share: the HTTP session."""
