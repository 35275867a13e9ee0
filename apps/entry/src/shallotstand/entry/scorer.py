"""Scores the samples of a job with a plain service."""

import asyncio

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.gateway import CallerRequest, Gateway
from shallotstand.objects.types import RolloutJob

# Scorers are small services, where more concurrent calls would only queue.
MAX_CONCURRENT_CALLS = 16
# A hanging scorer must not occupy call slots until the request deadline.
CALL_TIMEOUT_S = 10.0
_MAX_ATTEMPTS = 3
_RETRY_DELAY_S = 0.2
_OK_STATUS = 200


class Scorer:
    """Scores samples of one job with a limited number of concurrent calls."""

    def __init__(self, job: RolloutJob, gateway: Gateway):
        self._job = job
        self._gateway = gateway
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def score(self, prompt: str, text: str) -> float | Failure:
        """Returns the score of a text.

        Errors:
          SCORER_FAILED: No attempt was answered with a score.
        """
        result: float | Failure = Failure(ResultCode.SCORER_FAILED, "")
        for attempt in range(_MAX_ATTEMPTS):
            async with self._call_slots:
                result = await self._call(prompt, text)
            if not isinstance(result, Failure):
                return result
            await asyncio.sleep(_RETRY_DELAY_S * 2**attempt)
        return result

    async def _call(self, prompt: str, text: str) -> float | Failure:
        service = self._gateway.catalog.services_by_name.get(self._job.scorer)
        if service is None:
            return Failure(
                ResultCode.SCORER_FAILED,
                "The scoring service does not exist.",
            )
        request = CallerRequest(
            service.path,
            "",
            orjson.dumps({"prompt": prompt, "text": text}),
            "rollout",
            account=self._job.account,
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._gateway.serve(request)
        except TimeoutError:
            return Failure(
                ResultCode.SCORER_FAILED, "The scorer did not answer in time."
            )
        if isinstance(answer, Failure):
            return Failure(ResultCode.SCORER_FAILED, answer.reason)
        body, status = answer.stream.head.data, answer.status
        answer.close()
        if status != _OK_STATUS:
            return Failure(
                ResultCode.SCORER_FAILED,
                f"The scorer answered with HTTP status {status}.",
            )
        try:
            return float(orjson.loads(body)["score"])
        except (ValueError, KeyError, TypeError):
            return Failure(
                ResultCode.SCORER_FAILED, "The scorer's answer has no score."
            )
