"""Profiles of hypothesis: bounded and repeatable by default, long on call."""

import os

import eliot
from hypothesis import HealthCheck, settings

# Eliot keeps what is logged before the first destination, and would give the lines of
# earlier tests to the first test that starts a log.
eliot.add_destinations(lambda message: None)

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "fuzz",
    derandomize=False,
    database=None,
    deadline=None,
    max_examples=int(os.environ.get("MANGOWAY_FUZZ_EXAMPLES", "200")),
    stateful_step_count=80,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("MANGOWAY_HYPOTHESIS_PROFILE", "ci"))
