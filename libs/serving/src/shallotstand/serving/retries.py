"""Decides whether and when a failed request is retried."""

import random
from collections.abc import Sequence
from typing import Protocol

from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.core.failure import Failure

# The request was not run; another endpoint may be able to run it.
_RETRYABLE_NOT_RUN = frozenset(
    {
        ResultCode.NO_ENDPOINT,
        ResultCode.SHUTTING_DOWN,
        ResultCode.ENDPOINT_REFUSED,
        ResultCode.SUSPECT_BUSY,
    }
)
_RETRYABLE_UNKNOWN = frozenset(
    {
        ResultCode.ANSWER_CUT,
        ResultCode.LINK_LOST,
        ResultCode.ENDPOINT_BAD_ANSWER,
        ResultCode.ENDPOINT_ERROR,
    }
)
# The request may have crashed the endpoint.
_POSSIBLE_CRASH = frozenset({ResultCode.ANSWER_CUT, ResultCode.LINK_LOST})


class RetryPolicy(Protocol):
    """Decides whether a failed request is retried."""

    def record_request(self) -> None:
        """Records a new request, before its first attempt."""
        ...

    def retry_delay_s(
        self, code: ResultCode, idempotent: bool, attempt: int, left_s: float
    ) -> float | None:
        """Returns the seconds to wait before the next attempt.

        Args:
          code: Result code of the failed attempt.
          idempotent: Whether the request may run more than once.
          attempt: Number of the attempt that failed, from 1.
          left_s: Seconds until the deadline.

        Returns:
          None if the request must not be retried.
        """
        ...


class BudgetedRetries:
    """Retries with exponential backoff, jitter and a budget.

    The budget is a share of the recent requests, so that retries can't
    multiply the load on a service that is failing as a whole.
    """

    MAX_ATTEMPTS = 4
    BASE_DELAY_S = 0.02
    MAX_DELAY_S = 1.0
    BUDGET_RATIO = 0.1
    # Allows retries on an entry with few requests.
    INITIAL_BUDGET = 10.0

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._budget = self.INITIAL_BUDGET

    def record_request(self) -> None:
        """Adds a new request's share to the budget."""
        self._budget = min(
            self._budget + self.BUDGET_RATIO, self.INITIAL_BUDGET * 10
        )

    def retry_delay_s(
        self, code: ResultCode, idempotent: bool, attempt: int, left_s: float
    ) -> float | None:
        """Returns the seconds to wait before the next attempt."""
        if not may_retry(code, idempotent):
            return None
        delay_s = min(self.BASE_DELAY_S * 2 ** (attempt - 1), self.MAX_DELAY_S)
        delay_s *= self._rng.uniform(0.5, 1.5)
        if delay_s >= left_s:
            return None
        if code == ResultCode.SUSPECT_BUSY:
            # The request waits for another suspect to finish, which can take
            # as long as an answer. Such retries put no load on endpoints, so
            # they don't count towards the budget.
            return delay_s
        if attempt >= self.MAX_ATTEMPTS or self._budget < 1:
            return None
        self._budget -= 1
        return delay_s


def may_retry(code: ResultCode, idempotent: bool) -> bool:
    """Returns whether a request that failed with this code may be retried."""
    if is_not_run(code):
        return code in _RETRYABLE_NOT_RUN
    return idempotent and code in _RETRYABLE_UNKNOWN


def may_have_crashed(code: ResultCode) -> bool:
    """Returns whether the request may have crashed its endpoint."""
    return code in _POSSIBLE_CRASH


def reported_failure(failures: Sequence[Failure]) -> Failure:
    """Returns the failure to report to the caller after all attempts failed.

    This is the last failure. If the last attempt did not run but an earlier
    one may have, it is the failure of the latest attempt that may have run.
    """
    last = failures[-1]
    if not is_not_run(last.code):
        return last
    return next((f for f in reversed(failures) if not is_not_run(f.code)), last)
