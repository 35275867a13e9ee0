"""HTTP front end for callers."""

import asyncio
from collections.abc import Mapping

import orjson
from sanic import Request as HttpRequest
from sanic import Sanic
from sanic.exceptions import PayloadTooLarge, RequestTimeout, SanicException
from sanic.response import HTTPResponse, raw
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.gateway import CallerRequest, Gateway, OpenAnswer
from shallotstand.entry.settings import EntrySettings

_JSON = "application/json"
_BEARER = "bearer "
_EVENT_STREAM = "text/event-stream"
_PRIORITIES = frozenset({"interactive", "rollout"})


class TimedRequest(HttpRequest):
    """A request whose body must arrive within the request timeout.

    Sanic's own timeout covers only the head of the request.
    """

    async def receive_body(self) -> None:
        """Receives the body of the request.

        Raises:
          RequestTimeout: The body was incomplete when the timeout expired.
        """
        try:
            async with asyncio.timeout(self.app.config.REQUEST_TIMEOUT):
                await super().receive_body()
        except TimeoutError as error:
            # Otherwise Sanic answers and then waits for the rest of the body.
            self.stream.keep_alive = False
            self.stream.request_body = None
            raise RequestTimeout("Request Timeout") from error


def make_app(settings: EntrySettings, gateway: Gateway) -> Sanic:
    """Returns the Sanic application that serves callers."""
    app = Sanic(
        "shallotstand-entry",
        configure_logging=False,
        request_class=TimedRequest,
    )
    app.config.REQUEST_MAX_SIZE = settings.max_body_bytes
    app.config.REQUEST_TIMEOUT = settings.request_timeout_s
    app.config.RESPONSE_TIMEOUT = settings.shutdown_deadline_s
    # With TOUCHUP, Sanic rewrites its own methods, which works for only one
    # application per process.
    app.config.TOUCHUP = False
    app.config.FALLBACK_ERROR_FORMAT = "json"

    @app.exception(PayloadTooLarge)
    async def too_large(*_: object) -> HTTPResponse:
        return failure_response(
            Failure(ResultCode.BODY_TOO_LARGE, "The request body is too large.")
        )

    @app.exception(RequestTimeout)
    async def too_slow(*_: object) -> HTTPResponse:
        return failure_response(
            Failure(
                ResultCode.REQUEST_TIMEOUT,
                "The request did not arrive before the timeout.",
            )
        )

    @app.exception(SanicException)
    async def refused(_: HttpRequest, error: SanicException) -> HTTPResponse:
        code = (
            ResultCode.ROUTE_UNKNOWN
            if error.status_code == 404
            else ResultCode.BAD_REQUEST
        )
        return failure_response(Failure(code, str(error)))

    @app.exception(Exception)
    async def fault(_: HttpRequest, error: Exception) -> HTTPResponse:
        return failure_response(
            Failure(ResultCode.INTERNAL, type(error).__name__)
        )

    @app.on_response
    async def close_while_stopping(
        request: HttpRequest, _: HTTPResponse
    ) -> None:
        # A request may arrive just as an idle kept-alive connection is closed,
        # so connections are closed with an answer instead.
        if gateway.refusal is not None:
            request.stream.keep_alive = False

    @app.get("/health")
    async def health(_: HttpRequest) -> HTTPResponse:
        if gateway.refusal is not None:
            return failure_response(gateway.refusal)
        return raw(b"{}", content_type=_JSON)

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def call(
        request: HttpRequest,
        path: str,
    ) -> HTTPResponse | None:
        caller_request = _caller_request(request, path)
        if isinstance(caller_request, Failure):
            return failure_response(caller_request)
        answer = await gateway.serve(caller_request)
        if isinstance(answer, Failure):
            return failure_response(answer)
        try:
            return await _forward_answer(request, answer)
        finally:
            answer.close()

    return app


def failure_response(failure: Failure) -> HTTPResponse:
    """Returns the HTTP response for a failure."""
    headers = {"X-Result-Code": str(int(failure.code))}
    if failure.code_info.http_status in (429, 503):
        headers["Retry-After"] = "1"
    return raw(
        orjson.dumps(failure.to_json()),
        status=failure.code_info.http_status,
        headers=headers,
        content_type=_JSON,
    )


def bearer_key(headers: Mapping[str, str]) -> str:
    """Returns the bearer key of the Authorization header; empty if missing."""
    value = headers.get("authorization", "")
    if value[: len(_BEARER)].lower() != _BEARER:
        return ""
    return value[len(_BEARER) :].strip()


def _caller_request(request: HttpRequest, path: str) -> CallerRequest | Failure:
    priority = request.headers.get("x-priority", "interactive")
    if priority not in _PRIORITIES:
        return Failure(
            ResultCode.BAD_REQUEST, "X-Priority must be interactive or rollout."
        )
    return CallerRequest(
        path="/" + path,
        key=bearer_key(request.headers),
        body=request.body,
        priority=priority,
    )


async def _forward_answer(
    request: HttpRequest, answer: OpenAnswer
) -> HTTPResponse | None:
    if answer.is_whole:
        return raw(
            answer.stream.head.data,
            status=answer.status,
            content_type=answer.content_type,
        )
    response = await request.respond(
        status=answer.status, content_type=answer.content_type
    )
    async for chunk in answer.chunks():
        if isinstance(chunk, Failure):
            await _end_cut_answer(request, response, answer, chunk)
            return None
        await response.send(chunk)
    await response.eof()
    return None


async def _end_cut_answer(
    request: HttpRequest,
    response: HTTPResponse,
    answer: OpenAnswer,
    failure: Failure,
) -> None:
    """Marks a cut answer so that the caller cannot mistake it for complete.

    Event streams get a last event with the failure.
    """
    if answer.content_type == _EVENT_STREAM:
        event = b"data: " + orjson.dumps(failure.to_json()) + b"\n\n"
        await response.send(event)
    # Without the final chunk the HTTP client detects an incomplete body.
    request.transport.abort()
