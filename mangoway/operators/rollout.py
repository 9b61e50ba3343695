"""Checks whether a configuration version is in force on every live host."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from attrs import frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion

POLL_S: Final = 0.25
"""Interval between two reads of the hosts' versions."""


@frozen(kw_only=True)
class HostVersion:
    """Version in force in one live process."""

    process: str
    """Host and role, as shown to operators."""

    version: ConfigVersion | None
    """None if the process did not respond."""


ReadVersions = Callable[[], Awaitable[tuple[HostVersion, ...]]]


def list_lagging(
    hosts: Iterable[HostVersion], version: ConfigVersion
) -> tuple[HostVersion, ...]:
    """Return the processes that have an older version or did not respond."""
    return tuple(
        host for host in hosts if host.version is None or host.version < version
    )


def describe_lagging(hosts: Iterable[HostVersion]) -> str:
    """Return a text that names the processes and their versions."""
    return ", ".join(
        f"{host.process} "
        + ("gave no answer" if host.version is None else f"has {host.version}")
        for host in hosts
    )


async def async_wait_in_force(
    read: ReadVersions, version: ConfigVersion, timeout_s: float
) -> int:
    """Wait until a version is in force everywhere; return the number of processes.

    Raises:
        MangowayError: CONFIG_NOT_IN_FORCE, naming the lagging processes, after
            `timeout_s`; the error of `read` if no process responds.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    while True:
        hosts = await read()
        lagging = list_lagging(hosts, version)
        if hosts and not lagging:
            return len(hosts)
        if asyncio.get_running_loop().time() >= deadline:
            who = describe_lagging(lagging) or "no live process is known"
            detail = f"version {version} not in force after {timeout_s:g} s: {who}"
            raise MangowayError(
                ErrorCode.CONFIG_NOT_IN_FORCE, detail, retry_after=timeout_s
            )
        await asyncio.sleep(POLL_S)
