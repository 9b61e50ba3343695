"""Probes of neighbours in a ring, repeated until they respond or count as failed."""

from collections.abc import Sequence
from random import Random

from attrs import define, field
from xxhash import xxh3_64_intdigest

from .actions import SendProbe
from .const import (
    PROBE_RELAYS,
    PROBE_RETRIES,
    PROBE_TIMEOUT_S,
    PROBED_NEIGHBOURS,
)


@define
class Probe:
    """A probe without a response so far."""

    started_at: float
    retry_at: float
    retries: int = 0


@define
class FailureDetector:
    """Probes the successors of a process in a ring of all peers.

    So each process is probed in each period by as many others, whatever the number of
    processes, and random choices leave none out.
    """

    _own_address: str
    _random: Random
    _probes: dict[str, Probe] = field(factory=dict)
    """Open probes by target address."""

    _last_contact_at: dict[str, float] = field(factory=dict)
    """When the two peers that were heard last were heard, by address: at least one of
    them is not the one that is being judged."""

    @property
    def wake_at(self) -> float | None:
        """Return when the next probe has to be repeated; None if none is open."""
        return min((probe.retry_at for probe in self._probes.values()), default=None)

    def start_probes(self, peers: Sequence[str], now: float) -> list[SendProbe]:
        """Probe the successors among the peers that are not being probed already."""
        actions: list[SendProbe] = []
        for address in self._choose_neighbours(peers):
            if address not in self._probes:
                self._probes[address] = Probe(now, now + PROBE_TIMEOUT_S)
                actions.append(SendProbe(target_address=address))
        return actions

    def record_contact(self, address: str, now: float) -> None:
        """End the probe of a peer from which a message was received."""
        self._probes.pop(address, None)
        self._last_contact_at.pop(address, None)
        self._last_contact_at[address] = now
        if len(self._last_contact_at) > 2:
            del self._last_contact_at[next(iter(self._last_contact_at))]

    def end_probe(self, address: str) -> None:
        """End the probe of a peer whose state is known otherwise."""
        self._probes.pop(address, None)

    def advance(
        self, peers: Sequence[str], now: float
    ) -> tuple[list[SendProbe], list[str]]:
        """Repeat probes that are due.

        Args:
            peers: Addresses of the peers that may relay a probe.
            now: Seconds.

        Returns:
            The repeated probes, and the peers that have failed all of them.
        """
        actions: list[SendProbe] = []
        failed: list[str] = []
        for address, probe in list(self._probes.items()):
            if now < probe.retry_at:
                continue
            if now >= probe.retry_at + PROBE_TIMEOUT_S:
                # This process was delayed itself, so responses may wait unread.
                del self._probes[address]
            elif probe.retries < PROBE_RETRIES:
                probe.retries += 1
                probe.retry_at = now + PROBE_TIMEOUT_S
                actions += self._repeat(address, peers)
            else:
                del self._probes[address]
                if self._is_connected(address, probe, peers):
                    failed.append(address)
        return actions, failed

    def _repeat(self, address: str, peers: Sequence[str]) -> list[SendProbe]:
        others = [peer for peer in peers if peer != address]
        relays = self._random.sample(others, min(PROBE_RELAYS, len(others)))
        return [
            SendProbe(target_address=address),
            *(SendProbe(target_address=address, relay_address=peer) for peer in relays),
        ]

    def _is_connected(self, address: str, probe: Probe, peers: Sequence[str]) -> bool:
        """Return whether another peer was heard during a probe, if there are others.

        A process that hears nobody is more likely disconnected itself.
        """
        if all(peer == address for peer in peers):
            return True
        return any(
            peer != address and at >= probe.started_at
            for peer, at in self._last_contact_at.items()
        )

    def _choose_neighbours(self, peers: Sequence[str]) -> list[str]:
        own = _get_ring_position(self._own_address)
        positions = sorted(_get_ring_position(peer) for peer in peers)
        after = [each for each in positions if each > own]
        before = [each for each in positions if each < own]
        return [address for _, address in (after + before)[:PROBED_NEIGHBOURS]]


def _get_ring_position(address: str) -> tuple[int, str]:
    return xxh3_64_intdigest(address.encode()), address
