"""Configuration documents of the operators: parsing, validation and storage."""
