"""Parser of the HTTP service discovery format: groups of targets with labels."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import orjson

from ..models.identifiers import DataCentreId, HostId, ServiceName, UpstreamId
from ..models.member import ProcessRole
from ..models.upstream import UpstreamAddress, UpstreamKind
from ..util.address import parse_address
from .const import (
    LABEL_DATA_CENTRE,
    LABEL_HOST,
    LABEL_ROLE,
    LABEL_SERVICE,
    LABEL_STATE,
    ROLE_RUNNER,
    ROLE_SERVICE,
    STATE_LEAVING,
    STATE_LIVE,
)
from .listing import HostListing, ListedProcess

Entry = UpstreamAddress | ListedProcess


def parse_listing(body: bytes) -> HostListing:
    """Parse a host list; unusable entries are skipped with a reason.

    Raises:
        ValueError: If the body is not in the format.
    """
    groups = orjson.loads(body)
    if not isinstance(groups, list):
        raise ValueError("expected a JSON array of groups")
    upstreams: dict[UpstreamId, UpstreamAddress] = {}
    processes: dict[str, ListedProcess] = {}
    skipped: list[str] = []
    for target, labels in _iterate_targets(groups):
        try:
            entry = _parse_entry(target, labels)
        except ValueError as error:
            skipped.append(f"{target}: {error}")
            continue
        if isinstance(entry, ListedProcess):
            processes[entry.peer_address] = entry
        elif _add_upstream(upstreams, entry):
            skipped.append(
                f"{target}: {entry.id} is listed twice, with different addresses"
            )
    return HostListing(
        upstreams=tuple(upstreams.values()),
        processes=tuple(processes.values()),
        skipped=tuple(skipped),
    )


def _iterate_targets(groups: list[Any]) -> Iterator[tuple[str, Mapping[str, str]]]:
    for group in groups:
        if not isinstance(group, dict) or not isinstance(group.get("targets"), list):
            raise ValueError("expected groups with an array `targets`")
        labels = group.get("labels", {})
        if not isinstance(labels, dict):
            raise ValueError("expected `labels` to be an object")
        for target in group["targets"]:
            yield str(target), labels


def _parse_entry(target: str, labels: Mapping[str, str]) -> Entry:
    address = parse_address(target)
    role = _find_label(labels, LABEL_ROLE)
    host = _find_label(labels, LABEL_HOST)
    data_centre = DataCentreId(_find_label(labels, LABEL_DATA_CENTRE))
    leaving = _parse_state(labels)
    if role in (ROLE_RUNNER, ROLE_SERVICE):
        service = None
        if role == ROLE_SERVICE:
            service = ServiceName(_find_label(labels, LABEL_SERVICE))
        return UpstreamAddress(
            id=UpstreamId(host),
            kind=UpstreamKind.SERVICE if service else UpstreamKind.ENGINE,
            address=address,
            data_centre=data_centre,
            service=service,
            leaving=leaving,
        )
    return ListedProcess(
        host=HostId(host),
        role=_parse_role(role),
        data_centre=data_centre,
        peer_address=address,
        leaving=leaving,
    )


def _find_label(labels: Mapping[str, str], name: str) -> str:
    value = labels.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"no label {name!r}")
    return value


def _parse_state(labels: Mapping[str, str]) -> bool:
    state = labels.get(LABEL_STATE, STATE_LIVE)
    if state not in (STATE_LIVE, STATE_LEAVING):
        raise ValueError(f"unknown state {state!r}")
    return state == STATE_LEAVING


def _parse_role(role: str) -> ProcessRole:
    try:
        return ProcessRole(role)
    except ValueError:
        raise ValueError(f"unknown role {role!r}") from None


def _add_upstream(
    upstreams: dict[UpstreamId, UpstreamAddress], entry: UpstreamAddress
) -> bool:
    """Add an upstream; return whether it was skipped as a duplicate.

    Of two entries with different addresses, the first is kept. An upstream that is
    listed twice with one address is leaving if either entry is.
    """
    existing = upstreams.setdefault(entry.id, entry)
    if existing is entry:
        return False
    if existing.address != entry.address:
        return True
    upstreams[entry.id] = attrs.evolve(
        existing, leaving=existing.leaving or entry.leaving
    )
    return False
