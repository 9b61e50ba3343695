"""Codec of the directory and readiness endpoints of an edge."""

from typing import Final
from urllib.parse import parse_qs

import orjson
from attrs import frozen

from ..http1.messages import Headers, Request

PATH_RESOLVE: Final = "/v1/resolve"
PATH_READY: Final = "/v1/ready"
JSON_TYPE: Final = (b"Content-Type", b"application/json")


@frozen(kw_only=True)
class AddressRequest:
    """Request of a caller for the addresses of edges."""

    name: str
    data_centre: str


def decode_address_request(request: Request) -> AddressRequest | None:
    """Decode a request to the directory; return None for other methods or paths."""
    if request.path != PATH_RESOLVE or request.method != b"GET":
        return None
    query = request.target.partition(b"?")[2].decode("latin-1")
    fields = parse_qs(query)
    return AddressRequest(
        name=fields.get("name", [""])[0],
        # `zone` is a data centre. `region` is a group of data centres and is ignored.
        data_centre=fields.get("zone", [""])[0],
    )


def encode_addresses(addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
    """Return header fields and body of a response of the directory."""
    body = orjson.dumps({"addresses": addresses, "ttl_s": ttl_s})
    return (JSON_TYPE,), body
