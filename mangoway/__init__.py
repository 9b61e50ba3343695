"""A serving system that runs many models on fewer accelerators."""
