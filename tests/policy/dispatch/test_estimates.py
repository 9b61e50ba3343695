"""Tests of the estimates of targets."""

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import AdapterName
from mangoway.policy.dispatch.events import ConfigurationChanged

from .builders import CALL, CHAT, DRAFT, make_configuration, make_core


class TestRetention:
    """Estimates are kept for offered targets only."""

    def test_estimates_of_withdrawn_targets_are_dropped(self) -> None:
        core = make_core()
        estimates = core.context.estimates
        adapted = Artifact(CHAT.model, CHAT.version, AdapterName("gone"))
        before = {
            target: estimates.get(target) for target in (CHAT, DRAFT, CALL, adapted)
        }
        configuration = make_configuration(models=("chat",), version=2)
        core.handle(ConfigurationChanged(configuration=configuration), 1.0)
        kept = {
            target
            for target, estimate in before.items()
            if estimates.get(target) is estimate
        }
        assert kept == {CHAT, CALL}
