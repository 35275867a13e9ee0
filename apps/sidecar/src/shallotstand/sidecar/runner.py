"""Runs requests on the endpoints of this instance."""

import orjson
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.meter import CollectedAnswer, StreamMeter, collect
from shallotstand.engine.protocols import Answer, EngineRequest
from shallotstand.link.messages import Frame, Request, Span, UsageRecord
from shallotstand.sidecar.attempts import SeenAttempts
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.outbox import Outbox
from shallotstand.sidecar.retained import RetainedSamples
from shallotstand.sidecar.usage_log import UsageLog

_JSON = "application/json"
_OK_STATUS = 200


class Runner:
    """Runs requests and puts their answers into the outbox of the requester.

    Attributes:
      is_accepting: Whether new requests are run.
      retained: Retained answers of rollout requests.
    """

    def __init__(
        self,
        endpoints_by_name: dict[str, LocalEndpoint],
        usage_log: UsageLog,
        clock: Clock,
    ):
        self._endpoints_by_name = endpoints_by_name
        self._usage_log = usage_log
        self._clock = clock
        self._seen_attempts = SeenAttempts()
        self.is_accepting = True
        self.retained = RetainedSamples()

    async def run(self, request: Request, outbox: Outbox) -> None:
        """Runs one request to its end.

        Cancelling this call also cancels the request to the endpoint.
        """
        endpoint = self._admit(request)
        if isinstance(endpoint, Failure):
            outbox.add_end(_make_failure_frame(request, endpoint))
            return
        try:
            await self._run_on_endpoint(endpoint, request, outbox)
        finally:
            endpoint.finish_request(request)

    def _admit(self, request: Request) -> LocalEndpoint | Failure:
        """Checks that a request may run and registers it with its endpoint.

        Returns:
          The endpoint, or why the request was not run.
        """
        if not self.is_accepting:
            return Failure(
                ResultCode.SHUTTING_DOWN, "The sidecar is shutting down."
            )
        endpoint = self._endpoints_by_name.get(request.endpoint)
        if endpoint is None:
            return Failure(
                ResultCode.NO_ENDPOINT, "The endpoint is not on this instance."
            )
        if request.deadline_ms <= 0:
            return Failure(
                ResultCode.DEADLINE_PASSED, "The deadline has passed."
            )
        now = self._clock.monotonic()
        if not self._seen_attempts.add(
            request.request_id, request.attempt, now
        ):
            return Failure(
                ResultCode.DUPLICATE_ATTEMPT,
                "This attempt was already received.",
            )
        return endpoint.start_request(request) or endpoint

    async def _run_on_endpoint(
        self, endpoint: LocalEndpoint, request: Request, outbox: Outbox
    ) -> None:
        engine_request = EngineRequest(
            path=request.path,
            body=_streaming_body(request),
            request_id=request.request_id,
            priority=request.priority,
            timeout_s=request.deadline_ms / 1000,
        )
        async with endpoint.engine.open(engine_request) as answer:
            if isinstance(answer, Failure):
                _record_if_cut(endpoint, request, answer)
                outbox.add_end(_make_failure_frame(request, answer))
            elif answer.status in request.not_run_statuses:
                outbox.add_end(_make_refusal_frame(request, answer.status))
            elif request.whole_answer:
                await self._send_whole_answer(endpoint, request, answer, outbox)
            else:
                await self._stream_answer(endpoint, request, answer, outbox)

    async def _stream_answer(
        self,
        endpoint: LocalEndpoint,
        request: Request,
        answer: Answer,
        outbox: Outbox,
    ) -> None:
        """Forwards the answer's bytes unchanged as they arrive."""
        flush_s = request.flush_ms / 1000
        outbox.add_head(
            Frame(
                request.stream,
                status=answer.status,
                content_type=answer.content_type,
            ),
            flush_s,
        )
        meter = StreamMeter()
        finished = False
        try:
            async for chunk in answer.chunks():
                if isinstance(chunk, Failure):
                    _record_if_cut(endpoint, request, chunk)
                    outbox.add_end(_make_failure_frame(request, chunk))
                    return
                meter.feed(chunk)
                outbox.add_data(request.stream, chunk, flush_s)
            finished = True
        finally:
            # A stream that its caller cancelled is billed for the tokens
            # generated until then. A stream cut by a lost link is not billed.
            usage = meter.usage()
            record = None
            if finished or not outbox.is_closed:
                record = self._record_usage(endpoint, request, *usage)
            if finished:
                last = Frame(
                    request.stream,
                    end=True,
                    prompt_tokens=usage.prompt_tokens,
                    completion_tokens=usage.completion_tokens,
                )
                outbox.add_end(self._add_usage_record(last, record))

    async def _send_whole_answer(
        self,
        endpoint: LocalEndpoint,
        request: Request,
        answer: Answer,
        outbox: Outbox,
    ) -> None:
        """Collects the whole answer and sends it in one frame."""
        parts: list[bytes] = []
        failure: Failure | None = None
        async for chunk in answer.chunks():
            if isinstance(chunk, Failure):
                failure = chunk
                _record_if_cut(endpoint, request, failure)
            else:
                parts.append(chunk)
        stream = b"".join(parts)
        if answer.status != _OK_STATUS or endpoint.kind != "model":
            outbox.add_end(
                _make_whole_answer_frame(request, answer, stream, failure)
            )
            return
        collected = collect(stream)
        if failure is None and not collected.finish_reason:
            failure = Failure(
                ResultCode.ANSWER_CUT,
                "The stream ended before its finish reason.",
            )
        frame = _make_completion_frame(request, collected, failure)
        if failure is None:
            record = self._record_usage(endpoint, request, *collected.usage)
            frame = self._add_usage_record(frame, record)
        if request.retain and failure is None:
            self.retained.add(request.request_id, frame)
        outbox.add_end(frame)

    def _record_usage(
        self,
        endpoint: LocalEndpoint,
        request: Request,
        prompt_tokens: int,
        completion_tokens: int,
    ) -> UsageRecord | None:
        if not request.account:
            return None
        return self._usage_log.add(
            request.account,
            endpoint.service,
            self._clock.wall(),
            prompt_tokens,
            completion_tokens,
            request.request_id,
        )

    def _add_usage_record(
        self, frame: Frame, record: UsageRecord | None
    ) -> Frame:
        """Adds the usage record, of which the entry keeps a copy."""
        if record is None:
            return frame
        return frame._replace(
            record=record.number,
            source=self._usage_log.source(record.account),
            window=record.window,
        )


def _streaming_body(request: Request) -> bytes:
    """Returns the body, changed to ask for a stream for whole completions.

    The sidecar also collects whole answers from a stream, since only a stream
    tells which weight version generated which tokens.
    """
    if not request.whole_answer or not request.path.endswith("completions"):
        return request.body
    body = orjson.loads(request.body)
    body["stream"] = True
    return orjson.dumps(body)


def _record_if_cut(
    endpoint: LocalEndpoint, request: Request, failure: Failure
) -> None:
    if failure.code == ResultCode.ANSWER_CUT:
        endpoint.record_cut_answer(request)


def _make_failure_frame(request: Request, failure: Failure) -> Frame:
    return Frame(
        request.stream, end=True, code=failure.code, reason=failure.reason
    )


def _make_refusal_frame(request: Request, status: int) -> Frame:
    return Frame(
        request.stream,
        end=True,
        code=ResultCode.ENDPOINT_REFUSED,
        reason=f"The endpoint answered {status}.",
    )


def _make_whole_answer_frame(
    request: Request, answer: Answer, body: bytes, failure: Failure | None
) -> Frame:
    if failure is not None:
        return _make_failure_frame(request, failure)
    return Frame(
        request.stream,
        status=answer.status,
        content_type=answer.content_type,
        data=body,
        end=True,
    )


def _make_completion_frame(
    request: Request,
    collected: CollectedAnswer,
    failure: Failure | None,
) -> Frame:
    """Returns the frame of a whole completion, which may be cut.

    A cut completion includes its text and spans, so that it can be resumed.
    """
    return Frame(
        request.stream,
        status=_OK_STATUS,
        content_type=_JSON,
        data=collected.to_completion(request.request_id),
        end=True,
        code=failure.code if failure else ResultCode.OK,
        reason=failure.reason if failure else "",
        spans=tuple(Span(*span) for span in collected.spans),
        prompt_tokens=collected.usage.prompt_tokens,
        completion_tokens=collected.usage.completion_tokens,
    )
