"""Configuration of one process, updated by deltas or else by whole documents."""

import zlib
from typing import Final

from attrs import define, field, frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion
from ..models.offer import Configuration
from .bundle import BASE, ConfigurationBundle, name_overlay
from .const import (
    COMPRESSION_THRESHOLD_BYTES,
    MAX_DELTAS_KEPT,
    MAX_DELTAS_READ,
    MAX_DOCUMENT_BYTES,
)
from .delta import ConfigurationDelta, apply_delta
from .merger import merge_documents
from .parser import parse_overlay
from .records import decode_record, encode_record
from .repository import ConfigurationRepository
from .sections import SectionParser

NO_VERSION: Final = ConfigVersion(0)
PLAIN: Final = b"p"
COMPRESSED: Final = b"z"
MAX_UPDATE_BYTES: Final = 4 * MAX_DOCUMENT_BYTES
"""Maximum size of a decompressed update."""


@frozen(kw_only=True)
class ConfigurationUpdate:
    """Update from one process to another that has an older version."""

    site: str
    deltas: tuple[ConfigurationDelta, ...] = ()
    """Deltas in version order; empty if whole documents are sent."""

    bundle: ConfigurationBundle | None = None


@define
class ConfigurationFollower:
    """Documents of the version that this process has, and the latest deltas.

    The version never decreases. The configuration core (`policy.configuration`) decides
    when to fetch or push.
    """

    site: str
    bundle: ConfigurationBundle = field(factory=ConfigurationBundle)
    _deltas: tuple[ConfigurationDelta, ...] = ()
    _parser: SectionParser = field(factory=SectionParser, eq=False)
    _loaded: Configuration | None = field(default=None, eq=False)
    _needs_whole_documents: bool = field(default=False, eq=False)
    """Whether a delta did not match the documents; whole documents are needed then."""

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the documents, or 0 if there are none."""
        return self.bundle.version

    @property
    def known_version(self) -> ConfigVersion:
        """Return the version to report to peers; 0 requests whole documents."""
        return NO_VERSION if self._needs_whole_documents else self.version

    def load(self) -> Configuration:
        """Return the merged configuration of the documents."""
        if self._loaded is None or self._loaded.version != self.version:
            self._loaded = self._parse(self.bundle)
        return self._loaded

    async def async_fetch(
        self, repository: ConfigurationRepository, version: ConfigVersion
    ) -> Configuration:
        """Fetch `version` or a newer one from the key-value service.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE; CONFIG_CONFLICT if edits are accepted
                faster than they can be read; or the error of an invalid document.
        """
        if self.version and version - self.version <= MAX_DELTAS_READ:
            await self._async_fetch_deltas(repository, version)
        if self.version < version or not self.version:
            self.accept_bundle(await repository.async_read_bundle(self.site))
        return self.load()

    def make_update(self, known: ConfigVersion) -> bytes:
        """Return the update for a peer of the same site that has version `known`.

        The update is empty if `known` is not older than this process's version.
        """
        if known >= self.version:
            return b""
        deltas = tuple(delta for delta in self._deltas if delta.version > known)
        if known and deltas and deltas[0].version == known + 1:
            update = ConfigurationUpdate(site=self.site, deltas=deltas)
        else:
            update = ConfigurationUpdate(site=self.site, bundle=self.bundle)
        return _encode_update(update)

    def accept_update(self, data: bytes) -> Configuration:
        """Apply an update from a peer; an older update changes nothing.

        Raises:
            MangowayError: CONFIG_MALFORMED if the update cannot be decoded;
                CONFIG_CONFLICT if it is for another site, or if its deltas do not match
                the documents, in which case `known_version` requests whole ones.
        """
        update = _decode_update(data)
        if update.site != self.site:
            detail = f"update is for site {update.site!r}, not {self.site!r}"
            raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail)
        if update.bundle is not None:
            self.accept_bundle(update.bundle)
        self._accept_deltas(update.deltas)
        return self.load()

    def accept_bundle(self, bundle: ConfigurationBundle) -> None:
        """Apply whole documents; older ones change nothing."""
        if bundle.version <= self.version:
            return
        self._loaded = self._parse(bundle)
        self.bundle = bundle
        self._deltas = ()
        self._needs_whole_documents = False

    def _accept_deltas(self, deltas: tuple[ConfigurationDelta, ...]) -> None:
        bundle = self.bundle
        fresh = tuple(delta for delta in deltas if delta.version > bundle.version)
        if not fresh:
            return
        self._needs_whole_documents = True
        for delta in fresh:
            bundle = apply_delta(bundle, delta, self.site)
        self._loaded = self._parse(bundle)
        self.bundle = bundle
        self._deltas = (*self._deltas, *fresh)[-MAX_DELTAS_KEPT:]
        self._needs_whole_documents = False

    def _parse(self, bundle: ConfigurationBundle) -> Configuration:
        overlay = name_overlay(self.site)
        return merge_documents(
            self._parser.parse(bundle.find_text(BASE), BASE),
            parse_overlay(bundle.find_text(overlay), overlay),
            bundle.version,
            overlay,
        )

    async def _async_fetch_deltas(
        self, repository: ConfigurationRepository, version: ConfigVersion
    ) -> None:
        deltas: list[ConfigurationDelta] = []
        for wanted in range(self.version + 1, version + 1):
            record = await repository.async_read_edit(ConfigVersion(wanted))
            if record is None or record.delta is None:
                return
            deltas.append(record.delta)
        try:
            self._accept_deltas(tuple(deltas))
        except MangowayError as error:
            # The documents differ from those that were edited: read them as a whole.
            if error.code is not ErrorCode.CONFIG_CONFLICT:
                raise


def _encode_update(update: ConfigurationUpdate) -> bytes:
    data = encode_record(update)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data)


def _decode_update(data: bytes) -> ConfigurationUpdate:
    kind, rest = data[:1], data[1:]
    if kind == COMPRESSED:
        rest = _decompress(rest)
    elif kind != PLAIN:
        raise MangowayError(
            ErrorCode.CONFIG_MALFORMED,
            "unknown kind of update: expected its first byte to be p or z",
        )
    return decode_record(rest, ConfigurationUpdate)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise MangowayError(ErrorCode.CONFIG_MALFORMED, str(error)) from error
    if not decompressor.eof:
        raise MangowayError(
            ErrorCode.CONFIG_MALFORMED, "decompressed update is cut off or too long"
        )
    return plain
