"""Decisions about requests: admission, queues, choice, retries."""
