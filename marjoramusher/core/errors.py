"""Error codes and exceptions that are reported to callers."""

import enum

import msgspec


class Outcome(enum.Enum):
    """Whether the work that an error refers to was executed."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class ErrorCode(enum.Enum):
    """Stable error codes; docs/INTERFACES.md says how a caller may retry each."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_CONFLICT = "version_conflict"
    OPERATION_REUSED = "operation_reused"
    INVALID_RECORD = "invalid_record"
    KEY_REUSED = "key_reused"
    ANSWER_EXPIRED = "answer_expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    HOME_UNREACHABLE = "home_unreachable"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    DRAINING = "draining"
    JOB_INFEASIBLE = "job_infeasible"
    CONTRACT_EXPIRED = "contract_expired"
    STALE_EPOCH = "stale_epoch"
    STALE_STORE = "stale_store"
    STORE_CORRUPT = "store_corrupt"
    STORE_FAILED = "store_failed"
    PEER_UNREACHABLE = "peer_unreachable"
    INVALID_SETTING = "invalid_setting"
    INTERNAL = "internal"


HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.UNKNOWN_ACCOUNT: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.OPERATION_REUSED: 409,
    ErrorCode.INVALID_RECORD: 422,
    ErrorCode.KEY_REUSED: 409,
    ErrorCode.ANSWER_EXPIRED: 410,
    ErrorCode.OUTCOME_UNKNOWN: 504,
    ErrorCode.HOME_UNREACHABLE: 503,
    ErrorCode.NO_QUORUM: 503,
    ErrorCode.NOT_LEADER: 503,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.NO_TARGET: 503,
    ErrorCode.TARGET_FAILED: 502,
    ErrorCode.DRAINING: 503,
    ErrorCode.JOB_INFEASIBLE: 422,
    ErrorCode.CONTRACT_EXPIRED: 409,
    ErrorCode.STALE_EPOCH: 409,
    ErrorCode.STALE_STORE: 409,
    ErrorCode.PEER_UNREACHABLE: 503,
    ErrorCode.STORE_FAILED: 503,
}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Encoded form of an error."""

    code: ErrorCode
    outcome: Outcome
    message: str
    details: dict[str, str] = {}


class MarjoramusherError(Exception):
    """Base class of the errors that are reported to callers.

    Parameters
    ----------
    code : ErrorCode
        Stable error code.
    message : str
        Description for a human reader.
    outcome : Outcome
        Whether the work was executed; ``NOT_RUN`` only if nothing was sent to a
        target.
    details : dict of str to str, optional
        Additional fields, for example the current version of a record.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        details: dict[str, str] | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.outcome = outcome
        self.details = details or {}

    @property
    def http_status(self) -> int:
        """Return the HTTP status for the error code, 500 by default."""
        return HTTP_STATUS.get(self.code, 500)

    def body(self) -> ErrorBody:
        """Return the encoded form."""
        return ErrorBody(self.code, self.outcome, self.message, self.details)


class BadRequestError(MarjoramusherError):
    """The input is invalid."""

    def __init__(self, message: str, details: dict[str, str] | None = None) -> None:
        super().__init__(ErrorCode.BAD_REQUEST, message, Outcome.NOT_RUN, details)


class NoQuorumError(MarjoramusherError):
    """No majority of the group responded.

    Parameters
    ----------
    message : str
        Description for a human reader.
    outcome : Outcome
        ``UNKNOWN`` if the command may still be committed.
    """

    def __init__(self, message: str, outcome: Outcome = Outcome.NOT_RUN) -> None:
        super().__init__(ErrorCode.NO_QUORUM, message, outcome)


class NotLeaderError(MarjoramusherError):
    """The called instance is not the leader of the group.

    Parameters
    ----------
    leader : str or None
        Id of the leader, if it is known.
    """

    def __init__(self, leader: str | None) -> None:
        super().__init__(
            ErrorCode.NOT_LEADER,
            "this instance does not lead the group",
            details={"leader": leader or ""},
        )
        self.leader = leader


class PeerUnreachableError(MarjoramusherError):
    """A peer did not respond in time or refused the connection."""

    def __init__(self, instance_id: str, outcome: Outcome = Outcome.UNKNOWN) -> None:
        super().__init__(
            ErrorCode.PEER_UNREACHABLE,
            f"instance {instance_id} did not answer",
            outcome,
            {"instance": instance_id},
        )


def from_body(body: ErrorBody) -> MarjoramusherError:
    """Return the exception for an error that a peer or server reported."""
    if body.code is ErrorCode.NOT_LEADER:
        return NotLeaderError(body.details.get("leader") or None)
    return MarjoramusherError(body.code, body.message, body.outcome, dict(body.details))
