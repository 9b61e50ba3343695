"""Fixtures: a stand-in for the key-value service, and clients of it."""

from collections.abc import AsyncIterator, Callable, Iterator

import pytest

from mangoway.key_value import etcd_watch
from mangoway.key_value.etcd import EtcdStore, make_etcd_store
from mangoway.observability.metrics import Metrics
from mangoway.settings.process import KeyValueSettings
from tests.stand_ins.key_value import KeyValueStandIn

TIMEOUT_S = 1.0
"""Long enough for a busy host: only calls on silenced connections may time out."""

MakeStore = Callable[..., EtcdStore]


@pytest.fixture
async def stand_in() -> AsyncIterator[KeyValueStandIn]:
    server = KeyValueStandIn()
    await server.async_start()
    yield server
    await server.async_stop()


@pytest.fixture
def make_store(stand_in: KeyValueStandIn) -> Iterator[MakeStore]:
    """Return a factory of stores; by default they use the stand-in as only endpoint."""
    stores: list[EtcdStore] = []

    def make(*addresses: str, calls_per_second: float = 1000.0) -> EtcdStore:
        settings = KeyValueSettings(
            key_value=addresses or (stand_in.address,),
            key_value_timeout_s=TIMEOUT_S,
            key_value_calls_per_second=calls_per_second,
        )
        stores.append(make_etcd_store(settings, Metrics()))
        return stores[-1]

    yield make
    for store in stores:
        store.close()


@pytest.fixture
async def store(make_store: MakeStore) -> EtcdStore:
    return make_store()


@pytest.fixture
def quick_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the periods of watches."""
    monkeypatch.setattr(etcd_watch, "WATCH_PROGRESS_S", 0.2)
    monkeypatch.setattr(etcd_watch, "WATCH_SILENCE_S", 0.8)
