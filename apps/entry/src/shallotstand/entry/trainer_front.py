"""HTTP routes for trainers."""

from typing import Any

import orjson
from sanic import Request as HttpRequest
from sanic import Sanic
from sanic.response import HTTPResponse, raw
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.gateway import Gateway
from shallotstand.entry.http_front import bearer_key, failure_response
from shallotstand.entry.rollout_service import JobService, RolloutService

_JSON = "application/json"
_ACCEPTED_STATUS = 202
# Below the idle timeout of common load balancers, 60 s.
MAX_WAIT_S = 50.0


def add_trainer_routes(
    app: Sanic, gateway: Gateway, rollouts: RolloutService
) -> None:
    """Adds the routes under `/v1/jobs` to the application."""

    @app.post("/v1/jobs/<job:str>/steps/<number:int>")
    async def post(request: HttpRequest, job: str, number: int) -> HTTPResponse:
        service = _find_job(request, job, gateway, rollouts)
        if isinstance(service, Failure):
            return failure_response(service)
        groups = _parse_groups(request.body)
        if isinstance(groups, Failure):
            return failure_response(groups)
        failure = await service.post(number, groups)
        if failure is not None:
            return _refusal_response(failure)
        return raw(b"{}", status=_ACCEPTED_STATUS, content_type=_JSON)

    @app.get("/v1/jobs/<job:str>/steps/<number:int>")
    async def fetch(
        request: HttpRequest, job: str, number: int
    ) -> HTTPResponse:
        service = _find_job(request, job, gateway, rollouts)
        if isinstance(service, Failure):
            return failure_response(service)
        try:
            wait_s = float(request.args.get("wait", 0))
        except ValueError:
            return failure_response(
                Failure(
                    ResultCode.BAD_REQUEST, "wait must be a number of seconds."
                )
            )
        step = await service.fetch(number, min(wait_s, MAX_WAIT_S))
        if isinstance(step, Failure):
            return _refusal_response(step)
        return raw(
            step.body,
            headers={"ETag": f'"{step.digest}"'},
            content_type=_JSON,
        )

    @app.post("/v1/jobs/<job:str>/steps/<number:int>/ack")
    async def acknowledge(
        request: HttpRequest, job: str, number: int
    ) -> HTTPResponse:
        service = _find_job(request, job, gateway, rollouts)
        if isinstance(service, Failure):
            return failure_response(service)
        digest = _parse_object(request.body).get("digest")
        if not isinstance(digest, str):
            return failure_response(
                Failure(
                    ResultCode.BAD_REQUEST, "digest is missing or not a string."
                )
            )
        failure = await service.acknowledge(number, digest.strip('"'))
        if failure is not None:
            return _refusal_response(failure)
        return raw(
            orjson.dumps({"step": number, "digest": digest.strip('"')}),
            content_type=_JSON,
        )


def _find_job(
    request: HttpRequest, job: str, gateway: Gateway, rollouts: RolloutService
) -> JobService | Failure:
    if gateway.refusal is not None:
        return gateway.refusal
    account = gateway.find_account(bearer_key(request.headers))
    if isinstance(account, Failure):
        return account
    return rollouts.find(job, account)


def _parse_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object of a body; empty if it is not an object."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _parse_groups(body: bytes) -> list[dict[str, Any]] | Failure:
    groups = _parse_object(body).get("groups")
    if not isinstance(groups, list) or not all(
        isinstance(group, dict) and isinstance(group.get("prompt"), str)
        for group in groups
    ):
        return Failure(
            ResultCode.BAD_REQUEST,
            "groups must be a list of objects with a prompt.",
        )
    return groups


def _refusal_response(failure: Failure) -> HTTPResponse:
    """Returns the response for a failure of the rollout service.

    For NOT_JOB_HOLDER, the X-Job-Holder header has the holder's address.
    """
    response = failure_response(failure)
    if failure.code == ResultCode.NOT_JOB_HOLDER:
        response.headers["X-Job-Holder"] = failure.reason
    return response
