"""HTTP session shared by the clients of engines and plain services."""
