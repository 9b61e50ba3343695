"""Identifiers used across the system."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of a host, from its settings."""

IncarnationId = NewType("IncarnationId", str)
"""Identifier of one run of a process between start and end; never reused."""

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
"""Name of a caller in the configuration."""

RequestId = NewType("RequestId", str)
"""Identifier of one arrival of a request at a gateway, unique in the whole system."""

AttemptId = NewType("AttemptId", str)
"""Identifier of one attempt to run a request at an upstream."""

OrderId = NewType("OrderId", str)
"""Identifier of one order to an engine."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key that a caller sends with a request and all its resubmissions."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration; grows by one with each accepted edit."""

FenceNumber = NewType("FenceNumber", int)
"""Fence of an order; an engine that checks fences rejects lower ones."""

Revision = NewType("Revision", int)
"""Revision of a key in the key-value service; 0 means the key is absent."""
