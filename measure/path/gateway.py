"""Gateway process with one engine and without platform services."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator

from mangoway.daemons.gateway_node import GatewayNode, NodeSettings
from mangoway.key_value.store import CallRank, Put, StoredValue, TransactionResult
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    CallerId,
    ConfigVersion,
    DataCentreId,
    HostId,
    ModelName,
    UpstreamId,
    VersionName,
)
from mangoway.models.offer import (
    CallerOffer,
    ClassOffer,
    Configuration,
    ModelOffer,
    VersionOffer,
)
from mangoway.models.request import WorkClass
from mangoway.models.upstream import UpstreamAddress, UpstreamKind

DATA_CENTRE = DataCentreId("dc")
DEADLINE_S = 120.0


class UnavailableStore:
    """A key-value service that is always unavailable; the data path does not use it."""

    async def async_get(self, key: str, rank: CallRank) -> StoredValue:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    async def async_list(self, prefix: str, rank: CallRank) -> tuple[StoredValue, ...]:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank
    ) -> TransactionResult:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    async def async_acquire_lease(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    async def async_release_lease(self, key: str, owner: str, rank: CallRank) -> None:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Raise the error `PLATFORM_UNAVAILABLE`."""
        raise _make_error()

    def close(self) -> None:
        """Do nothing, as there is no connection."""


def _make_error() -> MangowayError:
    return MangowayError(
        ErrorCode.PLATFORM_UNAVAILABLE, "key-value service is not available"
    )


def make_configuration() -> Configuration:
    """Return a configuration with one model and one caller."""
    version = VersionName("1")
    offer = ModelOffer(
        default_version=version, versions={version: VersionOffer(memory_mb=10)}
    )
    return Configuration(
        version=ConfigVersion(1),
        models={ModelName("m"): offer},
        callers={CallerId("c"): CallerOffer()},
        classes={WorkClass.URGENT: ClassOffer(deadline_s=DEADLINE_S)},
    )


async def _async_main(engine: str) -> None:
    node = GatewayNode(
        NodeSettings(host=HostId("g"), data_centre=DATA_CENTRE), UnavailableStore()
    )
    await node.async_start("127.0.0.1:0", "127.0.0.1:0")
    node.set_configuration(make_configuration())
    upstream = UpstreamAddress(
        id=UpstreamId("e1"),
        kind=UpstreamKind.ENGINE,
        address=engine,
        data_centre=DATA_CENTRE,
    )
    node.set_upstreams([upstream])
    print(json.dumps({"address": f"127.0.0.1:{node.server.port}"}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await node.async_stop(force=True)


if __name__ == "__main__":
    asyncio.run(_async_main(sys.argv[1]))
