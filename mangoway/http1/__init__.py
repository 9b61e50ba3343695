"""HTTP/1.1 connections that forward messages faithfully, on h11."""
