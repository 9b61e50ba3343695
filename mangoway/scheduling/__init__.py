"""Messages between edges and the scheduler, and the links that carry them."""
