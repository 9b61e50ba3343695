"""Hypothesis profiles: a short one with fixed seeds by default, and a random one."""

import os

import eliot
from hypothesis import HealthCheck, settings

# Eliot buffers messages until the first destination is added. Without one, the first
# test that starts a log would get the messages of earlier tests.
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
