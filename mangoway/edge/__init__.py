"""The gateway in front of routes: forwards requests to runners and answers callers."""
