"""Slopes of cost by size, and what they give at the size the system must carry."""
