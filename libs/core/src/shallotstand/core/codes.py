"""Numbered result codes shared by every program.

The range of a code tells whether the request may have run, so that a caller
can decide whether to retry without knowing each code.
"""

import enum
from typing import NamedTuple

NOT_RUN_RANGE = range(1000, 1100)
MAY_HAVE_RUN_RANGE = range(2000, 2100)


class ResultCode(enum.IntEnum):
    """Result of a request, an order or an administrative operation."""

    OK = 0

    KEY_MISSING = 1001
    KEY_UNKNOWN = 1002
    NOT_ALLOWED = 1003
    KEY_WITHDRAWN = 1004
    ROUTE_UNKNOWN = 1005
    BAD_REQUEST = 1006
    BODY_TOO_LARGE = 1007
    REQUEST_TIMEOUT = 1008
    QUEUE_FULL = 1009
    DEADLINE_UNREACHABLE = 1010
    QUARANTINED = 1011
    NO_ENDPOINT = 1012
    SHUTTING_DOWN = 1013
    CONFIG_UNCONFIRMED = 1014
    RATE_LIMITED = 1015
    ENDPOINT_REFUSED = 1016
    DUPLICATE_ATTEMPT = 1017
    SUSPECT_BUSY = 1018
    DEADLINE_PASSED = 1019
    ENDPOINTS_AT_LIMIT = 1020
    ENDPOINTS_CRASH = 1021
    STREAM_ORIGIN_UNKNOWN = 1022

    ANSWER_CUT = 2001
    LINK_LOST = 2002
    ENDPOINT_TIMEOUT = 2003
    ENDPOINT_BAD_ANSWER = 2004
    CANCELLED = 2005
    STREAM_KEY_WITHDRAWN = 2006
    ENDPOINT_ERROR = 2007
    ENDPOINT_RESTARTED = 2008
    ANSWER_TOO_LARGE = 2009

    OBJECT_SYNTAX = 3001
    OBJECT_FIELD = 3002
    OBJECT_DUPLICATE = 3003
    OBJECT_REFERENCE = 3004
    OBJECT_CYCLE = 3005
    SERVICE_WITHOUT_ENDPOINTS = 3006
    STALENESS_UNREACHABLE = 3007
    LIMITS_EXCEED_WHOLE = 3008
    PATH_CLASH = 3009
    PUBLISH_CONFLICT = 3010
    PUBLISH_UNCONFIRMED = 3011
    REVISION_GAP = 3012
    REVISION_OLDER = 3013
    DIGEST_MISMATCH = 3014
    SET_INVALID = 3015

    LEASE_HELD = 4001
    LEASE_LAPSED = 4002
    STALE_EPOCH = 4003
    ORDER_EXPIRED = 4004
    ORDER_FAILED = 4005
    ORDER_GATE_CLOSED = 4006

    JOB_UNKNOWN = 5001
    STEP_UNKNOWN = 5002
    STEP_INCOMPLETE = 5003
    STEP_ACKNOWLEDGED = 5004
    STEP_RESEALED = 5005
    VERSION_UNKNOWN = 5006
    SAMPLE_STALE = 5007
    STEP_CONFLICT = 5008
    NOT_JOB_HOLDER = 5009
    STEP_OUT_OF_ORDER = 5010
    SCORER_FAILED = 5011
    BATCH_UNKNOWN = 5012
    ITEM_UNKNOWN = 5013

    STORE_UNAVAILABLE = 6001
    VERSION_CONFLICT = 6002
    OUTCOME_UNKNOWN = 6003
    OBJECT_NOT_FOUND = 6004
    VALUE_TOO_LARGE = 6005
    PLATFORM_REFUSED = 6006
    HISTORY_GONE = 6007

    SETTINGS_INVALID = 7001
    BAD_FRAME = 7002
    FRAME_TOO_LARGE = 7003
    PEER_SLOW = 7004
    ADMIN_KEY_WRONG = 7005
    ADMIN_UNREACHABLE = 7006

    INTERNAL = 9001


class CodeInfo(NamedTuple):
    """HTTP status and description of a code.

    Attributes:
      http_status: Status of an HTTP response that carries the code.
      meaning: One sentence for the table in docs/result-codes.md.
    """

    http_status: int
    meaning: str


INFO_BY_CODE: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(200, "The request or operation succeeded."),
    ResultCode.KEY_MISSING: CodeInfo(
        401, "The route requires a key and the request has none."
    ),
    ResultCode.KEY_UNKNOWN: CodeInfo(401, "No client account has this key."),
    ResultCode.NOT_ALLOWED: CodeInfo(
        403, "The key's client account may not use this service."
    ),
    ResultCode.KEY_WITHDRAWN: CodeInfo(401, "The key was withdrawn."),
    ResultCode.ROUTE_UNKNOWN: CodeInfo(
        404, "No service has this path, or no model has this name."
    ),
    ResultCode.BAD_REQUEST: CodeInfo(
        400, "The request can't be parsed or a field has an invalid value."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        413, "The body is larger than the limit."
    ),
    ResultCode.REQUEST_TIMEOUT: CodeInfo(
        408, "The request was not received completely in time."
    ),
    ResultCode.QUEUE_FULL: CodeInfo(
        429, "The client account's queue for this service is full."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        429, "The queue is too long for the request's deadline."
    ),
    ResultCode.QUARANTINED: CodeInfo(
        422, "This request crashed two endpoints and is quarantined."
    ),
    ResultCode.NO_ENDPOINT: CodeInfo(
        503, "No endpoint of the service can take the request."
    ),
    ResultCode.SHUTTING_DOWN: CodeInfo(503, "This process is shutting down."),
    ResultCode.CONFIG_UNCONFIRMED: CodeInfo(
        503, "This process can't confirm that its configuration is current."
    ),
    ResultCode.RATE_LIMITED: CodeInfo(
        429, "The client account exceeds its rate or concurrency limit."
    ),
    ResultCode.ENDPOINT_REFUSED: CodeInfo(
        503, "The endpoint refused the request before it started."
    ),
    ResultCode.DUPLICATE_ATTEMPT: CodeInfo(
        409, "The sidecar has already received this attempt of the request."
    ),
    ResultCode.SUSPECT_BUSY: CodeInfo(
        503, "The endpoint already runs a request suspected of causing a crash."
    ),
    ResultCode.DEADLINE_PASSED: CodeInfo(
        504, "The deadline passed before the request was started."
    ),
    ResultCode.ENDPOINTS_AT_LIMIT: CodeInfo(
        503, "All endpoints of the service get as many requests as they accept."
    ),
    ResultCode.ENDPOINTS_CRASH: CodeInfo(
        503, "Endpoints end each time that they run this request."
    ),
    ResultCode.STREAM_ORIGIN_UNKNOWN: CodeInfo(
        503, "It is not known which software version can serve the stream."
    ),
    ResultCode.ANSWER_CUT: CodeInfo(
        502, "The endpoint's response ended early; the outcome is unknown."
    ),
    ResultCode.LINK_LOST: CodeInfo(
        502, "The connection to the sidecar was lost; the outcome is unknown."
    ),
    ResultCode.ENDPOINT_TIMEOUT: CodeInfo(
        504, "The deadline passed while the endpoint processed the request."
    ),
    ResultCode.ENDPOINT_BAD_ANSWER: CodeInfo(
        502, "The endpoint's response is invalid."
    ),
    ResultCode.CANCELLED: CodeInfo(499, "The caller cancelled the request."),
    ResultCode.STREAM_KEY_WITHDRAWN: CodeInfo(
        401, "The key was withdrawn while the response was streaming."
    ),
    ResultCode.ENDPOINT_ERROR: CodeInfo(
        502, "The endpoint reported an error after it accepted the request."
    ),
    ResultCode.ENDPOINT_RESTARTED: CodeInfo(
        502, "The endpoint may have started again with other software."
    ),
    ResultCode.ANSWER_TOO_LARGE: CodeInfo(
        502, "The endpoint's response exceeds a limit on its size."
    ),
    ResultCode.OBJECT_SYNTAX: CodeInfo(
        400, "The file or object can't be parsed."
    ),
    ResultCode.OBJECT_FIELD: CodeInfo(
        400, "A field is missing, unknown, or has an invalid type or value."
    ),
    ResultCode.OBJECT_DUPLICATE: CodeInfo(
        400, "Two objects of one kind have the same name."
    ),
    ResultCode.OBJECT_REFERENCE: CodeInfo(
        400, "An object refers to one that does not exist."
    ),
    ResultCode.OBJECT_CYCLE: CodeInfo(
        400, "Objects refer to each other in a cycle."
    ),
    ResultCode.SERVICE_WITHOUT_ENDPOINTS: CodeInfo(
        400, "A service lists no endpoints."
    ),
    ResultCode.STALENESS_UNREACHABLE: CodeInfo(
        400, "The job's staleness bound can't be met."
    ),
    ResultCode.LIMITS_EXCEED_WHOLE: CodeInfo(
        400, "Guaranteed limits add up to more than the services provide."
    ),
    ResultCode.PATH_CLASH: CodeInfo(400, "The paths of two services overlap."),
    ResultCode.PUBLISH_CONFLICT: CodeInfo(
        409, "Another operator published first; the response lists the changes."
    ),
    ResultCode.PUBLISH_UNCONFIRMED: CodeInfo(
        202, "Published, but a majority of entries has not confirmed it yet."
    ),
    ResultCode.REVISION_GAP: CodeInfo(
        409, "A delta does not apply to the current revision."
    ),
    ResultCode.REVISION_OLDER: CodeInfo(
        409, "The received revision is older than one already seen."
    ),
    ResultCode.DIGEST_MISMATCH: CodeInfo(
        409, "The configuration's content does not match its digest."
    ),
    ResultCode.SET_INVALID: CodeInfo(
        400, "The set of objects has errors; nothing was published."
    ),
    ResultCode.LEASE_HELD: CodeInfo(409, "Another process holds the lease."),
    ResultCode.LEASE_LAPSED: CodeInfo(409, "This process's lease has expired."),
    ResultCode.STALE_EPOCH: CodeInfo(
        409, "A holder with a higher epoch has already acted."
    ),
    ResultCode.ORDER_EXPIRED: CodeInfo(
        409, "The order arrived after its deadline."
    ),
    ResultCode.ORDER_FAILED: CodeInfo(
        502, "The endpoint did not carry out the order."
    ),
    ResultCode.ORDER_GATE_CLOSED: CodeInfo(
        503, "The sidecar started too recently to take orders."
    ),
    ResultCode.JOB_UNKNOWN: CodeInfo(404, "There is no such rollout job."),
    ResultCode.STEP_UNKNOWN: CodeInfo(404, "There is no such step."),
    ResultCode.STEP_INCOMPLETE: CodeInfo(
        425, "Some samples of the step are not finished."
    ),
    ResultCode.STEP_ACKNOWLEDGED: CodeInfo(
        410, "The step was acknowledged and is not delivered again."
    ),
    ResultCode.STEP_RESEALED: CodeInfo(
        409, "The step was resealed; fetch it again before acknowledging it."
    ),
    ResultCode.VERSION_UNKNOWN: CodeInfo(
        502, "The engine did not report the weight version it used."
    ),
    ResultCode.SAMPLE_STALE: CodeInfo(
        409, "The sample is older than the job's staleness bound."
    ),
    ResultCode.STEP_CONFLICT: CodeInfo(
        409, "The step was opened with different prompts."
    ),
    ResultCode.NOT_JOB_HOLDER: CodeInfo(
        503, "Another entry holds this job and can't be reached."
    ),
    ResultCode.STEP_OUT_OF_ORDER: CodeInfo(
        409, "An earlier step of the job has not been acknowledged yet."
    ),
    ResultCode.SCORER_FAILED: CodeInfo(
        502, "The job's scorer returned no score for a sample."
    ),
    ResultCode.BATCH_UNKNOWN: CodeInfo(404, "There is no such batch."),
    ResultCode.ITEM_UNKNOWN: CodeInfo(404, "The batch has no such item."),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(
        503, "The platform's store is unavailable or too slow."
    ),
    ResultCode.VERSION_CONFLICT: CodeInfo(
        409, "The object changed since it was read."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        502, "It is unknown whether the update took effect."
    ),
    ResultCode.OBJECT_NOT_FOUND: CodeInfo(404, "There is no such object."),
    ResultCode.VALUE_TOO_LARGE: CodeInfo(
        413, "The value is larger than the store accepts."
    ),
    ResultCode.PLATFORM_REFUSED: CodeInfo(
        502, "The platform refused the call."
    ),
    ResultCode.HISTORY_GONE: CodeInfo(
        410, "The store no longer has the changes since this revision."
    ),
    ResultCode.SETTINGS_INVALID: CodeInfo(
        400, "A setting is missing, unknown, or has an invalid value."
    ),
    ResultCode.BAD_FRAME: CodeInfo(
        400, "A peer sent a message that can't be decoded."
    ),
    ResultCode.FRAME_TOO_LARGE: CodeInfo(
        413, "A peer announced a message over the limit."
    ),
    ResultCode.PEER_SLOW: CodeInfo(
        503, "A peer did not read its messages in time."
    ),
    ResultCode.ADMIN_KEY_WRONG: CodeInfo(
        401, "The administration API does not accept this key."
    ),
    ResultCode.ADMIN_UNREACHABLE: CodeInfo(
        503, "The administration API can't be reached."
    ),
    ResultCode.INTERNAL: CodeInfo(500, "An internal error in shallotstand."),
}


def is_not_run(code: int) -> bool:
    """Returns whether the code guarantees that the request did not run."""
    return code in NOT_RUN_RANGE


def may_have_run(code: int) -> bool:
    """Returns whether the code says that the request may have run.

    In that case no valid, complete response was received.
    """
    return code in MAY_HAVE_RUN_RANGE


def render_table() -> str:
    """Returns the Markdown table of docs/result-codes.md."""
    rows = (
        f"| {code.value} | {code.name} | {info.http_status} | {info.meaning} |"
        for code, info in INFO_BY_CODE.items()
    )
    header = ("| code | name | HTTP status | meaning |", "|---|---|---|---|")
    return "\n".join((*header, *rows)) + "\n"


if __name__ == "__main__":
    print(render_table(), end="")
