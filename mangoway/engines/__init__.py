"""The client side of model engines."""
