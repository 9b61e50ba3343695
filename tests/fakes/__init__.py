"""Fakes of stores, links, engines and fleets for tests and measurements."""
