"""Event loop adapter of the configuration core; fetches and pushes configurations."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

from attrs import define, field

from ..key_value.store import KeyValueStore
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion, DataCentreId, HostId
from ..models.offer import Configuration
from ..operators.const import HEAD_KEY
from ..operators.follower import ConfigurationFollower
from ..operators.records import HeadRecord, decode_record
from ..operators.repository import ConfigurationRepository
from ..policy.configuration.actions import (
    ApplyConfiguration,
    ConfigurationAction,
    FetchFromPeer,
    FetchFromService,
    PushToPeer,
    ReadHead,
    WakeAt,
    WatchHead,
)
from ..policy.configuration.core import ConfigurationCore
from ..policy.configuration.events import (
    ConfigurationEvent,
    DocumentReceived,
    FetchFailed,
    HeadVersionReceived,
    PeerAdvertised,
    PeersChanged,
    Ticked,
)
from ..util.core_driver import CoreDriver
from ..util.tasks import Tasks
from . import peers_pb2 as pb
from .client import PeerClients
from .configuration_log import ConfigurationLog
from .const import WATCH_RESTART_DELAY_S
from .directory import Directory, name_process


@define(eq=False, kw_only=True)
class ConfigurationDriver:
    """Keeps this process at the newest configuration version.

    `on_applied` is called with each version that this process applies, in order.
    """

    core: ConfigurationCore
    store: KeyValueStore
    follower: ConfigurationFollower
    clients: PeerClients
    directory: Directory
    data_centre: DataCentreId
    tasks: Tasks
    log: ConfigurationLog
    on_applied: Callable[[Configuration], None]
    _driver: CoreDriver[ConfigurationEvent, ConfigurationAction] = field(init=False)
    _repository: ConfigurationRepository = field(init=False)
    _watch: "asyncio.Task[None] | None" = field(default=None, init=False)
    _advertised: dict[HostId, ConfigVersion] = field(factory=dict, init=False)
    """Last known version of each peer."""

    _source: HostId | None = field(default=None, init=False)
    """Source of the last received document; None for the key-value service."""

    def __attrs_post_init__(self) -> None:
        self._driver = CoreDriver(self.core, self._execute, Ticked)
        self._repository = ConfigurationRepository(self.store)

    def async_start(self) -> None:
        """Start following the configuration."""
        self._driver.async_handle(Ticked())

    def async_stop(self) -> None:
        """Stop following the configuration."""
        self._driver.async_stop()
        self._stop_watch()

    def async_update_members(self) -> None:
        """Update the peers and their versions from the directory."""
        others = self.directory.list_others()
        near = self.directory.list_in_data_centre(self.data_centre)
        changed = PeersChanged(
            peers=tuple(sorted(map(name_process, others))),
            near=tuple(sorted(map(name_process, near))),
        )
        self._driver.async_handle(changed)
        seen = {name_process(member): member.config_version for member in others}
        previous, self._advertised = self._advertised, seen
        for peer, version in seen.items():
            if previous.get(peer) != version:
                self._driver.async_handle(PeerAdvertised(peer=peer, version=version))

    def async_read_document(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        """Return the update from the requester's version to that of this process.

        The document is empty if the requester's version is not older.
        """
        known = ConfigVersion(request.known_version)
        return pb.ConfigurationDocument(
            version=self.follower.version, document=self.follower.make_update(known)
        )

    def async_receive_document(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        """Handle a version that a peer pushed."""
        if document.version > self.follower.version:
            self._accept(document, HostId(document.source))
        return pb.PushConfigurationReply(version=self.core.version)

    @singledispatchmethod
    def _execute(self, action: ConfigurationAction) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_execute.register
    def _(self, action: ReadHead) -> None:
        self.tasks.async_start(self._async_read_head())

    @_execute.register
    def _(self, action: WatchHead) -> None:
        self._stop_watch()
        if action.enabled:
            self._watch = self.tasks.async_start(self._async_watch())

    @_execute.register
    def _(self, action: FetchFromService) -> None:
        self.tasks.async_start(self._async_fetch_from_service(action.version))

    @_execute.register
    def _(self, action: FetchFromPeer) -> None:
        self.tasks.async_start(self._async_fetch_from_peer(action.peer))

    @_execute.register
    def _(self, action: PushToPeer) -> None:
        self.tasks.async_start(self._async_push(action.peer))

    @_execute.register
    def _(self, action: ApplyConfiguration) -> None:
        self.on_applied(action.configuration)
        self.log.log_applied(action.configuration.version, self._source)

    @_execute.register
    def _(self, action: WakeAt) -> None:
        self._driver.async_wake_at(action.time)

    async def _async_read_head(self) -> None:
        try:
            head = await self._repository.async_read_head()
        except MangowayError as error:
            self._handle_failure(None, None, error)
        else:
            self._driver.async_handle(HeadVersionReceived(version=head.version))

    async def _async_watch(self) -> None:
        """Watch the head key; the core's periodic reads cover a stalled watch."""
        while True:
            try:
                async for stored in self.store.watch(HEAD_KEY):
                    self._handle_head(stored.value)
            except MangowayError as error:
                self.log.log_failure(None, None, error)
            await asyncio.sleep(WATCH_RESTART_DELAY_S)

    def _handle_head(self, value: bytes | None) -> None:
        if value is None:
            return
        head = decode_record(value, HeadRecord)
        self._driver.async_handle(HeadVersionReceived(version=head.version))

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _async_fetch_from_service(self, version: ConfigVersion) -> None:
        try:
            configuration = await self.follower.async_fetch(self._repository, version)
        except MangowayError as error:
            self._handle_failure(None, version, error)
        else:
            self._receive(configuration, None)

    async def _async_fetch_from_peer(self, peer: HostId) -> None:
        request = pb.FetchConfigurationRequest(known_version=self.follower.version)
        try:
            client = self.clients.get(self._find_address(peer))
            document = await client.async_fetch_configuration(request)
        except MangowayError as error:
            self._handle_failure(peer, None, error)
            return
        if document.document:
            self._accept(document, peer)
        elif document.version and self.follower.version:
            # The peer has no newer version, so the loaded one counts as its response.
            self._receive(self.follower.load(), peer)
        else:
            self._driver.async_handle(FetchFailed(source=peer))

    async def _async_push(self, peer: HostId) -> None:
        known = self._advertised.get(peer, ConfigVersion(0))
        document = pb.ConfigurationDocument(
            version=self.follower.version,
            document=self.follower.make_update(known),
            source=self.core.host,
        )
        if not document.document:
            return
        try:
            client = self.clients.get(self._find_address(peer))
            reply = await client.async_push_configuration(document)
        except MangowayError:
            # The peer learns of the version from heartbeats and fetches it.
            return
        self.log.log_pushed(peer, self.follower.version)
        version = ConfigVersion(reply.version)
        self._driver.async_handle(PeerAdvertised(peer=peer, version=version))

    def _accept(self, document: pb.ConfigurationDocument, source: HostId) -> None:
        try:
            configuration = self.follower.accept_update(document.document)
        except MangowayError as error:
            version = ConfigVersion(document.version)
            self._handle_failure(source, version, error)
            self._driver.async_handle(PeerAdvertised(peer=source, version=version))
        else:
            self._receive(configuration, source)

    def _receive(self, configuration: Configuration, source: HostId | None) -> None:
        self._source = source
        received = DocumentReceived(configuration=configuration, source=source)
        self._driver.async_handle(received)

    def _handle_failure(
        self, source: HostId | None, version: ConfigVersion | None, error: MangowayError
    ) -> None:
        self.log.log_failure(source, version, error)
        self._driver.async_handle(FetchFailed(source=source))

    def _find_address(self, peer: HostId) -> str:
        member = self.directory.find(peer)
        if member is None:
            detail = f"{peer} is no longer in the directory"
            raise MangowayError(ErrorCode.PEER_UNREACHABLE, detail)
        return member.peer_address
