"""Controllers of one cell over fake engines and a fake key-value service."""

import asyncio

from attrs import define, field

from mangoway.daemons.placement_driver import PlacementDriver
from mangoway.engines.messages import OrderAnswer
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    CellId,
    ConfigVersion,
    DataCentreId,
    IncarnationId,
    ModelName,
    UpstreamId,
    VersionName,
)
from mangoway.models.offer import Configuration, ModelOffer, VersionOffer
from mangoway.models.order import Order
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    UpstreamAddress,
    UpstreamKind,
)
from mangoway.models.verdict import Verdict
from mangoway.observability.journal import Journal
from mangoway.observability.metrics import Metrics
from mangoway.policy.placement.core import PlacementCore
from mangoway.util.tasks import Tasks

from ..fakes.engine import EngineModel, EngineSettings
from ..fakes.key_value import FakeKeyValueStore
from ..fakes.weight_store import WeightStoreModel

CELL = CellId("c1")
VERSION = VersionName("1")
MODEL_MB = 30_000


@define
class FakeEngines:
    """Implements `EngineOrders` on simulated engines, by address."""

    models: dict[str, EngineModel]
    orders: list[Order] = field(factory=list)
    unresponsive: set[str] = field(factory=set)
    """Addresses of engines that never answer, so that calls time out."""

    reports: int = 0
    """Number of reports read so far."""

    delay_s: float = 0.01
    """Time that a call takes to reach an engine."""

    lost_answers: int = 0
    """Number of future orders that take effect but whose answers are lost."""

    async def async_describe(self, address: str) -> EngineDescription:
        return (await self._async_connect(address)).describe()

    async def async_read_report(self, address: str) -> EngineReport:
        model = await self._async_connect(address)
        self.reports += 1
        now = asyncio.get_running_loop().time()
        model.advance(now)
        return model.report(now - self.delay_s)

    async def async_send_order(
        self, address: str, order: Order, send_before: float
    ) -> OrderAnswer:
        now = asyncio.get_running_loop().time()
        if now > send_before:
            raise MangowayError(ErrorCode.DEADLINE_EXCEEDED, "late")
        model = await self._async_connect(address)
        self.orders.append(order)
        now = asyncio.get_running_loop().time()
        model.advance(now)
        outcome = model.order(now, order)
        if outcome is None or self.lost_answers:
            self.lost_answers = max(0, self.lost_answers - 1)
            raise MangowayError(
                ErrorCode.UPSTREAM_FAILED, "no answer", Verdict.MAY_HAVE_RUN
            )
        return OrderAnswer(order_id=order.id, outcome=outcome, fence=model.fence)

    async def _async_connect(self, address: str) -> EngineModel:
        await asyncio.sleep(self.delay_s)
        if address in self.unresponsive:
            await asyncio.sleep(2.0)
            raise MangowayError(ErrorCode.UPSTREAM_SILENT, "no answer")
        return self.models[address]


@define
class Cell:
    """Runners, a key-value service, and controllers that a test starts."""

    runners: int = 2
    memory_mb: int = 80_000
    store: FakeKeyValueStore = field(factory=FakeKeyValueStore)
    engines: FakeEngines = field(init=False)
    addresses: tuple[UpstreamAddress, ...] = field(init=False)
    errors: list[BaseException] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        weights = WeightStoreModel()
        self.addresses = tuple(
            UpstreamAddress(
                id=UpstreamId(f"r{number}"),
                kind=UpstreamKind.ENGINE,
                address=f"127.0.0.1:{9000 + number}",
                data_centre=DataCentreId("dc1"),
            )
            for number in range(self.runners)
        )
        self.engines = FakeEngines(
            {
                address.address: EngineModel(
                    EngineSettings(upstream=address.id, memory_mb=self.memory_mb),
                    weights,
                    IncarnationId(f"{address.id}.1"),
                )
                for address in self.addresses
            }
        )

    @property
    def models(self) -> tuple[EngineModel, ...]:
        return tuple(self.engines.models.values())

    def start_controller(self, name: str) -> PlacementDriver:
        tasks = Tasks(self.errors.append)
        driver = PlacementDriver(
            core=PlacementCore(IncarnationId(name)),
            cell=CELL,
            store=self.store,
            engines=self.engines,
            journal=Journal(),
            metrics=Metrics(),
            tasks=tasks,
        )
        driver.async_start()
        driver.async_set_runners(self.addresses)
        return driver

    def count_ready(self, name: str) -> int:
        """Return on how many runners a model is ready."""
        ready = 0
        for model in self.models:
            report = model.report(0.0)
            ready += sum(
                resident.artifact.model == name and resident.state.value == "ready"
                for resident in report.residents
            )
        return ready

    def assert_no_overcommit(self) -> None:
        """Assert that no engine ever exceeded its memory, and that no task failed."""
        assert not any(model.over_size for model in self.models)
        assert self.errors == []


def make_configuration(*names: str, version: int = 1) -> Configuration:
    """Return a configuration that offers models of `MODEL_MB` each."""
    offer = ModelOffer(
        default_version=VERSION, versions={VERSION: VersionOffer(memory_mb=MODEL_MB)}
    )
    return Configuration(
        version=ConfigVersion(version),
        models={ModelName(name): offer for name in names},
    )


async def async_stop(driver: PlacementDriver) -> None:
    """Stop a controller's driver."""
    driver.async_stop()
    await driver.tasks.async_cancel()
