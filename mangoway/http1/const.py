"""Constants of HTTP connections."""

from typing import Final

READ_BYTES: Final = 65_536
"""Maximum number of bytes read from a socket at once."""

MAX_RESPONSE_HEADER_BYTES: Final = 65_536
"""Maximum size of the status line and fields of an upstream's response; four times the
default limit for callers."""

MAX_PIPELINED_BYTES: Final = 65_536
"""Bytes of pipelined requests above which a connection of a caller is not read."""

MAX_WRITE_BUFFER_BYTES: Final = 262_144
"""Unsent bytes of a response above which its writer waits for the caller."""

LOW_WRITE_BUFFER_BYTES: Final = MAX_WRITE_BUFFER_BYTES - READ_BYTES
"""Unsent bytes of a response below which its writer goes on. One read from the runner
fills the buffer again, so that the runner of a slow caller is read often; runners break
off a response that stays unread for some seconds."""

MAX_UNSENT_KERNEL_BYTES: Final = 131_072
"""Bytes of a response that the kernel accepts beyond those in flight. Its buffer may
otherwise grow to some MB for each caller that does not read."""

MAX_READ_AHEAD_BYTES: Final = 16_384
"""Half of the bytes that a connection to an upstream reads ahead at most. A host
may hold thousands of responses that wait for their callers."""

CONNECT_TIMEOUT_S: Final = 0.6
"""Timeout for a new connection. A reachable host accepts one in about 3 ms, an
unreachable one never does; callers allow one second for their own connections."""

KEEP_ALIVE_MARGIN_S: Final = 1.0
"""Margin subtracted from the keep-alive timeout that an upstream announces, since that
is given in whole seconds and measured by the upstream."""

DEFAULT_KEEP_ALIVE_S: Final = 4.0
"""Keep-alive timeout that is assumed if the upstream announces none; the margin is
subtracted from it too."""

MAX_REUSE_IDLE_S: Final = 1.0
"""Longest idle time after which a connection is reused for a request that must not be
retried. Upstreams keep idle connections for whole seconds. If each such request opened
a new connection, these would be three of five new connections, and each has a cost."""

IDLE_SHARE_AFTER_BREAK: Final = 0.5
"""Share of a broken connection's idle time that becomes the new limit, if lower."""

IDLE_LIMIT_RECOVERY_PER_S: Final = 0.02
"""Seconds by which the idle limit rises for each second without another break."""

MAX_INCOMPLETE_S: Final = 3.0
"""Time from the first byte of a head, a chunk's size or a trailer until it is complete.
Servers send each at once; a packet that is lost twice arrives within this time."""

MAX_INTERIM_RESPONSES: Final = 4
"""Interim responses before the response to a request; servers send one or two."""

MAX_BODY_PARTS: Final = 16_384
"""Chunks and reads of one body. Each takes some 20 microseconds to parse, whatever its
size; the longest streams have some thousand events."""

MAX_SKIPPED_RESPONSES: Final = 2
"""Responses to other requests that are skipped before the response to a request. A
connection with unread bytes isn't reused, so that only late ones are met."""

MAX_NAMED_REQUESTS: Final = 256
"""Requests with an ID that one connection carries. It keeps a digest of each ID, 2 KiB
in all, for as long as it is open: a late response may arrive at any time."""

MAX_SKIPPED_BYTES: Final = 8 << 20
"""Largest body of such a response, which is as large as any response."""

BODY_GRACE_S: Final = 2.0
MIN_BODY_BYTES_PER_S: Final = 65_536
"""A body that is read as a whole takes this time at most, and more the larger it is:
the narrowest links carry ten times this rate, and a lost packet is sent again within
the grace time."""

MAX_REPLY_BYTES: Final = 4 << 20
"""Largest response to a call with a JSON body. The longest is the report of a runner
that lists a few thousand artifacts."""

MAX_COUNTED_WAIT_S: Final = 1.0
"""Longest wait for one read that counts for these times, so that a pause of this
process doesn't break off a response. Longer ones are silences."""

PARTS_PER_TURN: Final = 32
"""Parts that one connection parses before the other tasks of the event loop run, which
takes under a millisecond."""

READ_TURNS: Final = 4
"""Turns of the event loop after which the end of a connection that has arrived is read:
the event of its socket, the loss of the connection and the end of the read take one
each, and the task that waits for them may run first in each."""
