"""Streams that may go on at other runners than the one that began them."""

from attrs import frozen

from .runner import RunnerEntry


@frozen(kw_only=True)
class StreamOrigin:
    """What wrote the first event of a stream.

    What two versions of a runner's software write doesn't fit together, and runners
    don't check it.
    """

    service: str
    software_version: str
    """Empty if the runner states none."""

    runner_id: str
    """The runner, if it states no version; empty otherwise."""


def make_origin(runner: RunnerEntry) -> StreamOrigin:
    """Return the origin of a stream that a runner begins."""
    return StreamOrigin(
        service=runner.service,
        software_version=runner.software_version,
        runner_id="" if runner.software_version else runner.runner_id,
    )
