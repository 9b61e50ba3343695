"""Decides what is known about the origin of a stream that a caller resumes."""

from collections.abc import Iterable
from enum import StrEnum

from attrs import define, field, frozen

from ...models.streams import StreamOrigin
from .software_versions import ServiceVersion, VersionEvidence


class OriginBasis(StrEnum):
    """What a decision on the origin of a stream rests on."""

    OWN_RECORD = "own record"
    PEER_RECORD = "record of a peer"
    OWN_HISTORY = "own history"
    """This host has seen all versions within the life of a stream: there was one."""

    PEER_HISTORY = "history of a peer"
    STORE_RECORDS = "records in the store"
    """The store lists the versions within the life of a stream: there is one."""

    GAPPED_HISTORY = "own history with gaps"
    """This host follows the store for as long as a stream lives, though not always, and
    no host that answered knows of another version."""


@frozen(kw_only=True)
class OriginAnswer:
    """What a peer knows about a stream."""

    origin: StreamOrigin | None
    """None if it has no record of the stream."""

    evidence: VersionEvidence


@frozen(kw_only=True)
class FoundOrigin:
    """The origin of a stream, and who stated it."""

    origin: StreamOrigin
    told_by: str
    """Who has a record: "own" or the address of a peer; empty if there is only one
    version."""

    basis: OriginBasis


@frozen(kw_only=True)
class UnknownOrigin:
    """The origin of a stream can't be known, so that it must not go on."""

    unanswered: int
    """Peers that have not answered, and may have a record."""

    versions: tuple[ServiceVersion, ...]
    """All known versions that may have begun it."""

    @property
    def is_final(self) -> bool:
        """Return whether asking again soon is of no use.

        If one version is known, the store will soon list all of them.
        """
        return not self.unanswered and len(self.versions) != 1


@define(eq=False)
class OriginSearch:
    """The search for the origin of one stream.

    A record states it. Without one it follows if only one version can have begun the
    stream: no host has seen another one within the life of a stream. A host that has
    just started, or whose state is old, may have missed one, and asks others. If all
    have just started, the records of versions in the store decide; that hosts know of
    no other version doesn't show that there was none.
    """

    own: VersionEvidence
    is_current: bool
    """Whether this host's state of the runners is current."""

    backing: OriginBasis | None
    """What this host's knowledge of the versions rests on if no history covers the life
    of a stream; None if it rests on nothing."""

    _unanswered: set[str] = field(factory=set, init=False)
    _answered: int = field(default=0, init=False)
    _versions: set[ServiceVersion] = field(init=False)
    has_certain_peer: bool = field(default=False, init=False)
    """Whether a peer with current state has seen all versions."""

    _found: FoundOrigin | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._versions = set(self.own.versions)

    def ask(self, peers: Iterable[str]) -> None:
        """Record the peers that are asked, by address."""
        self._unanswered.update(peers)

    def list_unanswered(self) -> list[str]:
        """Return the peers that have not answered yet."""
        return sorted(self._unanswered)

    def handle_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Record the answer of a peer."""
        if peer not in self._unanswered:
            return
        self._unanswered.remove(peer)
        self._answered += 1
        self._versions |= answer.evidence.versions
        self.has_certain_peer |= answer.evidence.is_certain
        if answer.origin is not None:
            self._found = FoundOrigin(
                origin=answer.origin, told_by=peer, basis=OriginBasis.PEER_RECORD
            )

    def get_result(self) -> FoundOrigin | UnknownOrigin | None:
        """Return the result; None if an answer may still change it.

        The state of a peer may be as old as this host's, so that the answer of one
        doesn't decide: another one may know of the stream, or of a newer version.
        """
        if self._found is not None:
            return self._found
        if len(self._versions) <= 1 and self.own.is_certain:
            return self._get_only_origin()
        return None if self._unanswered else self.end()

    @property
    def _is_certain(self) -> bool:
        return self.own.is_certain or self.has_certain_peer

    def end(self) -> FoundOrigin | UnknownOrigin:
        """Return the result without any further answers."""
        if self._found is not None:
            return self._found
        has_asked_nobody = not (self._unanswered or self._answered)
        is_heard = self.is_current or self._answered > 0 or has_asked_nobody
        if len(self._versions) == 1 and (self._is_certain or is_heard):
            return self._get_only_origin()
        return self._make_unknown()

    def _make_unknown(self) -> UnknownOrigin:
        return UnknownOrigin(
            unanswered=len(self._unanswered), versions=tuple(sorted(self._versions))
        )

    def _get_only_origin(self) -> FoundOrigin | UnknownOrigin:
        """Return the only version, unless nothing shows that there was no other."""
        basis = self._get_basis()
        if not self._versions or basis is None:
            return self._make_unknown()
        [(service, version)] = self._versions
        origin = StreamOrigin(service=service, software_version=version, runner_id="")
        return FoundOrigin(origin=origin, told_by="", basis=basis)

    def _get_basis(self) -> OriginBasis | None:
        if self.own.is_certain:
            return OriginBasis.OWN_HISTORY
        return OriginBasis.PEER_HISTORY if self._is_certain else self.backing
