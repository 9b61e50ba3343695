"""Tests of the wait until a version is in force."""

import pytest

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.rollout import HostVersion, async_wait_in_force

pytestmark = pytest.mark.looptime


class Hosts:
    """Two hosts, of which the second gets version 5 only after a number of reads."""

    def __init__(self, reads: int, version: int | None) -> None:
        self.reads = reads
        self.version = version

    async def async_read(self) -> tuple[HostVersion, ...]:
        self.reads -= 1
        second = 5 if self.reads < 0 else self.version
        return (
            HostVersion(process="a", version=ConfigVersion(6)),
            HostVersion(
                process="b",
                version=None if second is None else ConfigVersion(second),
            ),
        )


class TestRollout:
    """Tests that a version is in force only when every live process has it."""

    async def test_waits_for_the_last_host(self) -> None:
        hosts = Hosts(3, 4)
        assert await async_wait_in_force(hosts.async_read, ConfigVersion(5), 30) == 2
        assert hosts.reads == -1

    @pytest.mark.parametrize(
        ("version", "named"), [(4, "b has 4"), (None, "b gave no answer")]
    )
    async def test_error_names_lagging_processes(
        self, version: int | None, named: str
    ) -> None:
        hosts = Hosts(1000, version)
        with pytest.raises(MangowayError, match=named) as caught:
            await async_wait_in_force(hosts.async_read, ConfigVersion(5), 2)
        assert caught.value.code is ErrorCode.CONFIG_NOT_IN_FORCE
