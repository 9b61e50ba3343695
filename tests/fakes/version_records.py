"""Records of software versions, as the store lists them."""

from mangoway.coordination.version_records import VersionRecord, encode_version_record
from mangoway.coordination.view import FleetView
from mangoway.platform.documents import OWN_PREFIX
from mangoway.policy.edge.software_versions import ServiceVersion

LEASE_S = 40.0


def make_record_key(version: ServiceVersion) -> str:
    """Return the key of a version's record."""
    return OWN_PREFIX + VersionRecord(version, LEASE_S).key


def make_record_value(version: ServiceVersion, lease_s: float = LEASE_S) -> bytes:
    """Return the value of a version's record."""
    return encode_version_record(VersionRecord(version, lease_s))


def record_current_versions(view: FleetView) -> None:
    """Let a view's store list the versions of all current runners."""
    for each in view.runners.values():
        version = each.service, each.software_version
        view.update_version_record(make_record_key(version), version)
