"""Constants of HTTP connections."""

from typing import Final

READ_BYTES: Final = 65_536
"""Bytes taken from a socket at once."""

MAX_RESPONSE_HEADER_BYTES: Final = 65_536
"""Bytes of status line and fields that an upstream may send; four times what callers
may send by default."""

MAX_PIPELINED_BYTES: Final = 65_536
"""Bytes of later requests that are taken while an answer is under way."""

MAX_WRITE_BUFFER_BYTES: Final = 262_144
"""Unsent bytes of an answer from which its writer waits for the caller."""

CONNECT_TIMEOUT_S: Final = 0.6
"""Time for a new connection. A reachable host answers in some 3 ms, one that is cut
off never does; callers allow one second for theirs."""

DISTRUST_IDLE_S: Final = 1.0
"""Time kept back from the idle timeout that an upstream announces, which is given in
whole seconds and counted at the other end."""

DEFAULT_KEEP_ALIVE_S: Final = 4.0
"""Idle time for which a connection is kept if the upstream announces none."""

MAX_REUSE_IDLE_S: Final = 1.0
"""Longest idle time after which a connection still takes a request that may not be
repeated. Upstreams keep idle ones for whole seconds. A fresh connection for each such
request was three of five new connections, and each is priced."""

TRUST_AFTER_BREAK: Final = 0.5
"""Part of the idle time of a connection that broke which is trusted from then on."""

TRUST_HEALS: Final = 0.02
"""Idle time by which the trust grows again in each second without a further break."""
