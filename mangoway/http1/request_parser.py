"""Parsing of a caller's bytes, in parts that are bounded."""

from typing import Any, Final

import h11

PART_BYTES: Final = 16_384
"""Bytes that h11 gets at once. It keeps what follows the current request, whose bytes
only it knows, so that it must not get all that was received."""


class RequestParser:
    """Splits the bytes of a connection into the events of its requests.

    Bytes are given to h11 only when it needs them for the current request. All others
    are counted by `unparsed_bytes`.
    """

    def __init__(self, max_header_bytes: int) -> None:
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )
        self._unparsed = bytearray()

    @property
    def unparsed_bytes(self) -> int:
        """Return the number of received bytes that h11 has not been given."""
        return len(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Return the number of received bytes that no event has contained."""
        return len(self._unparsed) + len(self.http.trailing_data[0])

    def receive(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self._unparsed += data

    def clear(self) -> None:
        """Drop the bytes that h11 has not been given."""
        self._unparsed.clear()

    def read_event(self) -> Any:
        """Return the next event of h11; `NEED_DATA` if it needs further bytes.

        Raises:
            h11.RemoteProtocolError: If the bytes are no valid request.
        """
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA or not self._unparsed:
                return event
            part = bytes(self._unparsed[:PART_BYTES])
            del self._unparsed[:PART_BYTES]
            self.http.receive_data(part)
