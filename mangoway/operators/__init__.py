"""Documents and commands of the operators."""
