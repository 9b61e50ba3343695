"""HTTP/1.1 connections based on h11, which keep messages unchanged."""
