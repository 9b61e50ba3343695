"""What the platform's callers ask an edge besides requests: addresses, readiness."""

from typing import Final
from urllib.parse import parse_qs

import orjson
from attrs import frozen

from ..http1.messages import Headers, Request

PATH_RESOLVE: Final = "/v1/resolve"
PATH_READY: Final = "/v1/ready"
JSON_TYPE: Final = (b"Content-Type", b"application/json")


@frozen(kw_only=True)
class AddressQuestion:
    """Which edges to use, asked by a caller."""

    name: str
    data_centre: str


def decode_address_request(request: Request) -> AddressQuestion | None:
    """Return what a caller asks the directory; None if it is something else."""
    if request.path != PATH_RESOLVE or request.method != b"GET":
        return None
    query = request.target.partition(b"?")[2].decode("latin-1")
    fields = parse_qs(query)
    return AddressQuestion(
        name=fields.get("name", [""])[0],
        # `zone` is a data centre; `region` holds several and is not needed.
        data_centre=fields.get("zone", [""])[0],
    )


def encode_addresses(addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
    """Return fields and body of the directory's answer."""
    body = orjson.dumps({"addresses": addresses, "ttl_s": ttl_s})
    return (JSON_TYPE,), body
