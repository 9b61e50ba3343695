"""Identifiers used across the system."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of an entry host, from its settings."""

IncarnationId = NewType("IncarnationId", str)
"""One life of a process: a new value at each start, never used again."""

DataCentreId = NewType("DataCentreId", str)
"""Name of a data centre, from settings or the host list."""

CellId = NewType("CellId", str)
"""Name of a group of data centres that one controller plans for."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream: a runner (model engine) or one host of a plain service."""

ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
ServiceName = NewType("ServiceName", str)
CallName = NewType("CallName", str)
CallerId = NewType("CallerId", str)
"""Name of a caller as the configuration knows it."""

RequestId = NewType("RequestId", str)
"""Identifier of one arrival at one gateway, unique in the whole system."""

AttemptId = NewType("AttemptId", str)
"""Identifier of one try of a request at one upstream."""

OrderId = NewType("OrderId", str)
"""Identifier of one order to an engine."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key with which a caller marks resubmissions of the same request."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration; grows by one with each accepted edit."""

FenceNumber = NewType("FenceNumber", int)
"""Number in each order; an engine that checks it refuses lower ones."""

Revision = NewType("Revision", int)
"""Revision of a key in the key-value service; 0 means the key is absent."""
