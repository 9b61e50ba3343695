"""Constants of the configuration core."""

from typing import Final

RELAYS_PER_DATA_CENTRE: Final = 2
"""Processes of a data centre, called relays, that watch the head key."""

RELAY_READ_S: Final = 2.0
"""Period at which a relay also reads the head, since a watch may stall."""

NON_RELAY_READ_S: Final = 30.0
"""Period at which any other process reads the head, in case all relays fail."""

START_READ_S: Final = 1.0
"""Period at which a process without a configuration reads the head."""

PUSH_FANOUT: Final = 3
"""Peers to which a process pushes a version when it applies it."""

MAX_PULL_DELAY_S: Final = 0.5
"""Maximum wait for a push before a newer version is requested from a peer."""

FETCH_TIMEOUT_S: Final = 2.0
"""Time after which a read or fetch without a response counts as failed."""

INITIAL_BACKOFF_S: Final = 0.5
"""Backoff after the first failure of a source; it doubles with each further failure."""

MAX_BACKOFF_S: Final = 4.0

START_PEERS: Final = 3
"""Peers from which a starting process fetches at the same time during an outage of the
service, and number of their responses after which it waits for no more of them."""

START_PEER_WAIT_S: Final = 2.0
"""Time for which a starting process waits for the responses of its peers."""

START_MAX_WAIT_S: Final = 10.0
"""Time for which a starting process waits for the newest version that was reported to
it."""
