"""Constants of the configuration core."""

from typing import Final

RELAYS: Final = 2
"""Processes of a data centre that watch the head key."""

RELAY_READ_S: Final = 2.0
"""Period at which a relay reads the head too, since a watch may stall."""

OTHER_READ_S: Final = 30.0
"""Period at which any other process reads the head, in case all relays fail."""

START_READ_S: Final = 1.0
"""Period at which a process without configuration reads the head."""

PUSH_FANOUT: Final = 3
"""Peers to which a process pushes a version when it puts it in force."""

PULL_DELAY_S: Final = 0.5
"""Longest wait for a push before a peer that is ahead is asked."""

FETCH_TIMEOUT_S: Final = 2.0
"""Time after which a read or fetch without an answer counts as failed."""

FIRST_BACKOFF_S: Final = 0.5
"""Pause after the first failure of a source; it doubles with each further one."""

LONGEST_BACKOFF_S: Final = 4.0

START_PEERS: Final = 3
"""Peers that a starting process asks at once while the service is out."""

START_WAIT_S: Final = 2.0
"""Time that a starting process gives its peers to answer."""

START_PATIENCE_S: Final = 10.0
"""Time for which a starting process waits for a version that it has heard of."""
