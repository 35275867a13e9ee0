"""Error values that are returned in place of results."""

from typing import NamedTuple

from shallotstand.core.codes import (
    INFO_BY_CODE,
    CodeInfo,
    ResultCode,
    is_not_run,
)


class ErrorDetail(NamedTuple):
    """One of several errors found by the same check.

    Attributes:
      code: Result code of the error.
      path: Where it was found, such as `accounts.toml: key[3].account`.
      reason: Human-readable text that follows the path, such as `is missing`.
    """

    code: ResultCode
    path: str
    reason: str


class Failure(NamedTuple):
    """Error returned in place of a result; callers test with isinstance.

    Attributes:
      code: Result code that callers and operators act on.
      reason: Human-readable explanation; it contains no key or prompt text.
      details: All errors, if the check can find several; `reason` may then
        only summarize them.
      retry_after_s: Seconds after which the caller may succeed; 0 if unknown.
    """

    code: ResultCode
    reason: str
    details: tuple[ErrorDetail, ...] = ()
    retry_after_s: float = 0.0

    @property
    def code_info(self) -> CodeInfo:
        """HTTP status and meaning of the code."""
        return INFO_BY_CODE[self.code]

    def to_json(self) -> dict[str, object]:
        """Returns the body of an HTTP error response in OpenAI's format."""
        error: dict[str, object] = {
            "code": int(self.code),
            "type": self.code.name.lower(),
            "message": self.reason,
            "not_run": is_not_run(self.code),
        }
        if self.details:
            error["details"] = [detail._asdict() for detail in self.details]
        return {"error": error}
