"""Errors with stable codes."""

from enum import Enum

from attrs import frozen

from .verdict import Verdict


class ErrorCode(Enum):
    """Stable code of a failure, exposed to callers and operators."""

    # Faults of the request.
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_CALLER = "unknown_caller"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    # Limits.
    CALLER_LIMIT = "caller_limit"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    MODEL_LOADING = "model_loading"
    # Idempotency keys.
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_HOME_GONE = "key_home_gone"
    KEY_CLAIM_UNAVAILABLE = "key_claim_unavailable"
    KEY_ALREADY_CLAIMED = "key_already_claimed"
    # Upstreams and hosts.
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_BUSY = "upstream_busy"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_SILENT = "peer_silent"
    PEER_FAILED = "peer_failed"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    CANCELLED = "cancelled"
    INTERNAL = "internal"
    # Configuration and platform.
    CONFIG_MALFORMED = "config_malformed"
    CONFIG_UNKNOWN_KEY = "config_unknown_key"
    CONFIG_INVALID = "config_invalid"
    CONFIG_DOES_NOT_FIT = "config_does_not_fit"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_NOT_IN_FORCE = "config_not_in_force"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_BUDGET = "platform_budget"
    LEDGER_UNREADABLE = "ledger_unreadable"


@frozen(kw_only=True)
class Failure:
    """A failure as reported to callers: code, verdict and retry delay."""

    code: ErrorCode
    verdict: Verdict
    detail: str
    retry_after: float | None = None
    """Seconds after which a retry may succeed; None if a retry is pointless."""


class MangowayError(Exception):
    """Base class of the errors of the project, with a `Failure`."""

    def __init__(
        self,
        code: ErrorCode,
        detail: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{code.value}: {detail}")
        self.failure = Failure(
            code=code, verdict=verdict, detail=detail, retry_after=retry_after
        )

    @property
    def code(self) -> ErrorCode:
        """Return the stable code."""
        return self.failure.code
