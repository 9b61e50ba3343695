"""Messages between edges and the scheduler, and the connections that carry them."""
