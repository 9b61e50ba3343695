"""Parsing of the HTTP service-discovery format: groups of targets with labels."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import orjson

from ..models.identifiers import DataCentreId, HostId, ServiceName, UpstreamId
from ..models.member import ProcessRole
from ..models.upstream import UpstreamAddress, UpstreamKind
from ..settings.parsers import parse_address
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
    """Parse a list; an entry that cannot be used is left out and said why.

    Raises:
        ValueError: If the whole is not in the format.
    """
    groups = orjson.loads(body)
    if not isinstance(groups, list):
        raise ValueError("expected a JSON array of groups")
    upstreams: dict[UpstreamId, UpstreamAddress] = {}
    processes: dict[str, ListedProcess] = {}
    skipped: list[str] = []
    for target, labels in _list_targets(groups):
        try:
            entry = _parse_entry(target, labels)
        except ValueError as error:
            skipped.append(f"{target}: {error}")
            continue
        if isinstance(entry, ListedProcess):
            processes[entry.peer_address] = entry
        elif _keep_first(upstreams, entry):
            skipped.append(f"{target}: {entry.id} is listed twice")
    return HostListing(
        upstreams=tuple(upstreams.values()),
        processes=tuple(processes.values()),
        skipped=tuple(skipped),
    )


def _list_targets(groups: list[Any]) -> Iterator[tuple[str, Mapping[str, str]]]:
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


def _keep_first(
    upstreams: dict[UpstreamId, UpstreamAddress], entry: UpstreamAddress
) -> bool:
    """Add an upstream unless its name is taken; True if it was left out.

    A host that is listed twice at one address is leaving if either says so.
    """
    known = upstreams.setdefault(entry.id, entry)
    if known is entry:
        return False
    if known.address != entry.address:
        return True
    upstreams[entry.id] = attrs.evolve(known, leaving=known.leaving or entry.leaving)
    return False
