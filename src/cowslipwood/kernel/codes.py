"""The numbered result codes that callers, operators and processes see.

``docs/RESULT_CODES.md`` is made from this module by ``code_table``.
"""

import enum
from typing import NamedTuple

__all__ = [
    "CODE_INFO",
    "Code",
    "CodeInfo",
    "Failure",
    "Outcome",
    "code_table",
    "failure",
]


class Outcome(enum.StrEnum):
    """What a refused caller knows about its request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result codes; thousands name the area."""

    OK = 0

    BAD_JSON = 1001
    BAD_FIELD = 1002
    BODY_TOO_LARGE = 1003
    NO_SUCH_ROUTE = 1004
    NO_SUCH_MODEL = 1005
    NO_SUCH_SERVICE = 1006
    KEY_NEEDED = 1007
    KEY_REUSED = 1008
    KEY_EXPIRED = 1009
    BAD_HEADER = 1010
    DEADLINE_PASSED = 1011
    BODY_TIMEOUT = 1012
    HEAD_TIMEOUT = 1013
    BAD_PATH = 1014

    ENTRY_LEAVING = 1201
    NO_REPLICA = 1202
    OVERLOADED = 1203
    OWNER_LIMIT = 1204
    RETRIES_EXHAUSTED = 1205
    CLAIMS_UNAVAILABLE = 1206
    CLAIM_IN_PROGRESS = 1207
    TOO_MANY_CONNECTIONS = 1208
    NO_CATALOGUE = 1209

    OUTCOME_UNKNOWN = 1301
    ANSWER_CUT = 1302
    ANSWER_NOT_KEPT = 1303
    BACKEND_TIMEOUT = 1304
    INTERNAL_ERROR = 1305

    AGENT_LEAVING = 2001
    MODEL_NOT_READY = 2002
    AGENT_OVERLOADED = 2003
    WRONG_INCARNATION = 2004
    ATTEMPT_VOIDED = 2005
    BACKEND_UNREACHABLE = 2006
    ATTEMPT_REPEATED = 2007
    WRONG_SERVER = 2008
    MEMORY_FULL = 2101
    ORDER_STALE = 2102
    ORDER_UNCERTAIN = 2103
    ORDER_REFUSED = 2104

    NOT_LEADER = 3001
    NO_QUORUM = 3002
    REVISION_CONFLICT = 3003
    UNKNOWN_FIELD = 3004
    BAD_VALUE = 3005
    MISSING_FIELD = 3006
    BASE_MISSING = 3007
    BASE_IN_USE = 3008
    MODEL_TOO_LARGE = 3009
    NO_SUCH_ENTRY = 3010
    NO_SUCH_MEMBER = 3011
    MEMBER_CHANGE_BUSY = 3012
    NO_SUCH_SERVER = 3013
    EDIT_ID_REUSED = 3014
    NO_PERMIT = 3015
    WAIT_TIMEOUT = 3016
    UNKNOWN_OPERATION = 3017
    CATALOGUE_FULL = 3018
    TOO_FEW_MEMBERS = 3019

    BAD_TOKEN = 4001
    BAD_FRAME = 4002
    FRAME_TOO_LARGE = 4003
    BAD_VERSION = 4004
    PEER_SILENT = 4005
    PEER_GONE = 4006
    BAD_MESSAGE = 4007
    SEND_TIMEOUT = 4008

    BAD_SETTING = 5001
    UNKNOWN_SETTING = 5002
    PORT_IN_USE = 5003
    DATA_LOCKED = 5004
    DATA_DAMAGED = 5005
    DISK_FAILED = 5006
    TOKEN_NEEDED = 5007


class CodeInfo(NamedTuple):
    """What goes with a code.

    Parameters
    ----------
    http_status : int
        Status of the HTTP answer that carries the code.
    outcome : Outcome
        What the refused caller knows.
    exit_status : int
        Exit status of a command that ends with the code.
    meaning : str
        One line for people.
    """

    http_status: int
    outcome: Outcome
    exit_status: int
    meaning: str


class Failure(NamedTuple):
    """A refusal or error with all that the receiver is told.

    Parameters
    ----------
    code : Code
    message : str
        What was wrong and what to do.
    retry_after_ms : int
        When to come back; 0 when coming back does not help.
    outcome : Outcome
    """

    code: Code
    message: str
    retry_after_ms: int = 0
    outcome: Outcome = Outcome.NOT_RUN


_N = Outcome.NOT_RUN
_U = Outcome.UNKNOWN

CODE_INFO = {
    Code.OK: CodeInfo(200, _N, 0, "Done."),
    Code.BAD_JSON: CodeInfo(400, _N, 10, "The body is not valid JSON."),
    Code.BAD_FIELD: CodeInfo(400, _N, 10, "A field of the request is wrong."),
    Code.BODY_TOO_LARGE: CodeInfo(413, _N, 10, "The body is over the bound."),
    Code.NO_SUCH_ROUTE: CodeInfo(404, _N, 10, "No such path or method."),
    Code.NO_SUCH_MODEL: CodeInfo(404, _N, 10, "The catalogue has no such model."),
    Code.NO_SUCH_SERVICE: CodeInfo(404, _N, 10, "The catalogue has no such service."),
    Code.KEY_NEEDED: CodeInfo(
        400, _N, 10, "A call that may not be repeated needs an Idempotency-Key."
    ),
    Code.KEY_REUSED: CodeInfo(
        409, _N, 10, "The key was used with another request; choose a new key."
    ),
    Code.KEY_EXPIRED: CodeInfo(
        409, _U, 10, "The key is older than claims are kept; check before resending."
    ),
    Code.BAD_HEADER: CodeInfo(400, _N, 10, "A header is wrong or too large."),
    Code.DEADLINE_PASSED: CodeInfo(503, _N, 11, "The deadline passed before dispatch."),
    Code.BODY_TIMEOUT: CodeInfo(408, _N, 10, "The body did not arrive in time."),
    Code.HEAD_TIMEOUT: CodeInfo(408, _N, 10, "The headers did not arrive in time."),
    Code.BAD_PATH: CodeInfo(400, _N, 10, "The path has a dot segment."),
    Code.ENTRY_LEAVING: CodeInfo(503, _N, 11, "The entry is stopping; use another."),
    Code.NO_REPLICA: CodeInfo(503, _N, 11, "No replica is ready yet."),
    Code.OVERLOADED: CodeInfo(503, _N, 11, "No replica can answer in time."),
    Code.OWNER_LIMIT: CodeInfo(429, _N, 11, "A limit of the entry's owner is reached."),
    Code.RETRIES_EXHAUSTED: CodeInfo(503, _N, 11, "Every attempt was refused."),
    Code.CLAIMS_UNAVAILABLE: CodeInfo(
        503, _N, 11, "The keepers cannot record the claim now."
    ),
    Code.CLAIM_IN_PROGRESS: CodeInfo(
        504, _U, 12, "The same key is being run; resend the same request later."
    ),
    Code.TOO_MANY_CONNECTIONS: CodeInfo(503, _N, 11, "Too many open requests."),
    Code.NO_CATALOGUE: CodeInfo(
        503, _N, 11, "This entry does not know the catalogue yet."
    ),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        504, _U, 12, "The request may have run; it is not run again."
    ),
    Code.ANSWER_CUT: CodeInfo(502, _U, 12, "The answer ended early."),
    Code.ANSWER_NOT_KEPT: CodeInfo(
        409, _U, 12, "The request ran; its answer was too large to keep."
    ),
    Code.BACKEND_TIMEOUT: CodeInfo(504, _U, 12, "The backend server did not answer."),
    Code.INTERNAL_ERROR: CodeInfo(502, _U, 12, "An unforeseen error; see the log."),
    Code.AGENT_LEAVING: CodeInfo(503, _N, 11, "The backend server is leaving."),
    Code.MODEL_NOT_READY: CodeInfo(503, _N, 11, "The model is not ready there."),
    Code.AGENT_OVERLOADED: CodeInfo(503, _N, 11, "The backend server is full."),
    Code.WRONG_INCARNATION: CodeInfo(
        409, _N, 11, "The dispatch was made for another incarnation of the agent."
    ),
    Code.ATTEMPT_VOIDED: CodeInfo(409, _N, 11, "The attempt was voided."),
    Code.BACKEND_UNREACHABLE: CodeInfo(
        503, _N, 11, "No connection to the backend server could be made."
    ),
    Code.ATTEMPT_REPEATED: CodeInfo(409, _U, 12, "The attempt has begun already."),
    Code.WRONG_SERVER: CodeInfo(409, _N, 11, "The call was meant for another agent."),
    Code.MEMORY_FULL: CodeInfo(503, _N, 13, "The model does not fit in free memory."),
    Code.ORDER_STALE: CodeInfo(409, _N, 13, "The order's fencing number is old."),
    Code.ORDER_UNCERTAIN: CodeInfo(504, _U, 13, "The end of the order is unknown."),
    Code.ORDER_REFUSED: CodeInfo(409, _N, 13, "The engine refused the order."),
    Code.NOT_LEADER: CodeInfo(503, _N, 20, "Another keeper leads."),
    Code.NO_QUORUM: CodeInfo(
        503, _U, 21, "No quorum of keepers; resend with the same edit id."
    ),
    Code.REVISION_CONFLICT: CodeInfo(
        409, _N, 22, "The entry changed since it was read."
    ),
    Code.UNKNOWN_FIELD: CodeInfo(400, _N, 23, "The entry has an unknown field."),
    Code.BAD_VALUE: CodeInfo(400, _N, 23, "A field of the entry is wrong."),
    Code.MISSING_FIELD: CodeInfo(400, _N, 23, "A field of the entry is missing."),
    Code.BASE_MISSING: CodeInfo(409, _N, 24, "Put the adapter's base first."),
    Code.BASE_IN_USE: CodeInfo(409, _N, 24, "Delete the adapters of the base first."),
    Code.MODEL_TOO_LARGE: CodeInfo(409, _N, 24, "No accelerator can hold the model."),
    Code.NO_SUCH_ENTRY: CodeInfo(404, _N, 25, "The catalogue has no such entry."),
    Code.NO_SUCH_MEMBER: CodeInfo(404, _N, 25, "No such keeper."),
    Code.MEMBER_CHANGE_BUSY: CodeInfo(409, _N, 26, "Another change is in progress."),
    Code.NO_SUCH_SERVER: CodeInfo(404, _N, 25, "No such backend server."),
    Code.EDIT_ID_REUSED: CodeInfo(
        409, _N, 22, "The edit id was used for another edit."
    ),
    Code.NO_PERMIT: CodeInfo(503, _N, 20, "The weight store's permits are all in use."),
    Code.WAIT_TIMEOUT: CodeInfo(
        504, _U, 27, "Accepted, but not yet in force everywhere."
    ),
    Code.UNKNOWN_OPERATION: CodeInfo(400, _N, 23, "No such operation."),
    Code.CATALOGUE_FULL: CodeInfo(409, _N, 24, "The catalogue is at its bound."),
    Code.TOO_FEW_MEMBERS: CodeInfo(
        503, _N, 21, "Too few keepers have joined the log for the losses to bear."
    ),
    Code.BAD_TOKEN: CodeInfo(401, _N, 30, "The token is wrong."),
    Code.BAD_FRAME: CodeInfo(400, _N, 31, "A damaged frame arrived."),
    Code.FRAME_TOO_LARGE: CodeInfo(400, _N, 31, "A frame is over the bound."),
    Code.BAD_VERSION: CodeInfo(400, _N, 31, "The peer speaks another version."),
    Code.PEER_SILENT: CodeInfo(504, _U, 32, "The peer was silent too long."),
    Code.PEER_GONE: CodeInfo(502, _U, 32, "The peer closed the connection."),
    Code.BAD_MESSAGE: CodeInfo(400, _N, 31, "A message could not be decoded."),
    Code.SEND_TIMEOUT: CodeInfo(504, _U, 32, "The peer stopped reading."),
    Code.BAD_SETTING: CodeInfo(500, _N, 40, "A setting is wrong."),
    Code.UNKNOWN_SETTING: CodeInfo(500, _N, 41, "No such setting."),
    Code.PORT_IN_USE: CodeInfo(500, _N, 42, "The address is in use."),
    Code.DATA_LOCKED: CodeInfo(500, _N, 43, "Another process uses the data folder."),
    Code.DATA_DAMAGED: CodeInfo(500, _N, 44, "The data folder is damaged."),
    Code.DISK_FAILED: CodeInfo(
        500, _N, 45, "A write or sync failed; the process stops."
    ),
    Code.TOKEN_NEEDED: CodeInfo(500, _N, 46, "A token is needed off loopback."),
}


def failure(code: Code, message: str = "", retry_after_ms: int = 0) -> Failure:
    """Return a failure with the code's own outcome and, by default, its meaning."""
    info = CODE_INFO[code]
    return Failure(code, message or info.meaning, retry_after_ms, info.outcome)


def code_table() -> str:
    """Return the Markdown table of all codes."""
    lines = [
        "| code | name | HTTP status | outcome | exit status | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for code, info in CODE_INFO.items():
        lines.append(
            f"| {code.value} | {code.name} | {info.http_status} | {info.outcome} "
            f"| {info.exit_status} | {info.meaning} |"
        )
    return "\n".join(lines) + "\n"
