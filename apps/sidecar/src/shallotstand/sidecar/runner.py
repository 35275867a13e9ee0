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
    """Runs requests and puts their answers into the outbox of the asker.

    Attributes:
      accepting: Whether new requests are run.
      retained: Answers of rollout requests.
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
        self._seen = SeenAttempts()
        self.accepting = True
        self.retained = RetainedSamples()

    async def run(self, request: Request, outbox: Outbox) -> None:
        """Runs one request to its end; cancelling it cancels the endpoint's."""
        started = self._start(request)
        if isinstance(started, Failure):
            outbox.end(_failed(request, started))
            return
        try:
            await self._run_on(started, request, outbox)
        finally:
            started.finish(request)

    def _start(self, request: Request) -> LocalEndpoint | Failure:
        """Checks that the request may run; every Failure here is "not run"."""
        if not self.accepting:
            return Failure(ResultCode.SHUTTING_DOWN, "The sidecar stops.")
        endpoint = self._endpoints_by_name.get(request.endpoint)
        if endpoint is None:
            return Failure(ResultCode.NO_ENDPOINT, "No such endpoint here.")
        if request.deadline_ms <= 0:
            return Failure(ResultCode.DEADLINE_PASSED, "No time is left.")
        now = self._clock.monotonic()
        if not self._seen.add(request.request_id, request.attempt, now):
            return Failure(
                ResultCode.DUPLICATE_ATTEMPT, "This attempt was seen before."
            )
        return endpoint.begin(request) or endpoint

    async def _run_on(
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
                _note_cut(endpoint, request, answer)
                outbox.end(_failed(request, answer))
            elif answer.status in request.not_run_statuses:
                outbox.end(_refused(request, answer.status))
            elif request.whole_answer:
                await self._collect(endpoint, request, answer, outbox)
            else:
                await self._relay(endpoint, request, answer, outbox)

    async def _relay(
        self,
        endpoint: LocalEndpoint,
        request: Request,
        answer: Answer,
        outbox: Outbox,
    ) -> None:
        """Passes the answer's bytes on unchanged."""
        flush_s = request.flush_ms / 1000
        outbox.head(
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
                    _note_cut(endpoint, request, chunk)
                    outbox.end(_failed(request, chunk))
                    return
                meter.feed(chunk)
                outbox.data(request.stream, chunk, flush_s)
            finished = True
        finally:
            # A stream that its caller cancelled is billed for what was
            # generated until then, one cut by a lost link is not.
            usage = meter.usage()
            record = None
            if finished or not outbox.is_closed:
                record = self._bill(endpoint, request, *usage)
            if finished:
                last = Frame(
                    request.stream,
                    end=True,
                    prompt_tokens=usage.prompt_tokens,
                    completion_tokens=usage.completion_tokens,
                )
                outbox.end(self._with_record(last, record))

    async def _collect(
        self,
        endpoint: LocalEndpoint,
        request: Request,
        answer: Answer,
        outbox: Outbox,
    ) -> None:
        """Puts the whole answer together and sends it once."""
        parts: list[bytes] = []
        failure: Failure | None = None
        async for chunk in answer.chunks():
            if isinstance(chunk, Failure):
                failure = chunk
                _note_cut(endpoint, request, failure)
            else:
                parts.append(chunk)
        stream = b"".join(parts)
        if answer.status != _OK_STATUS or endpoint.kind != "model":
            outbox.end(_whole(request, answer, stream, failure))
            return
        collected = collect(stream)
        if failure is None and not collected.finish_reason:
            failure = Failure(ResultCode.ANSWER_CUT, "The stream ended early.")
        frame = _completion(request, collected, failure)
        if failure is None:
            record = self._bill(endpoint, request, *collected.usage)
            frame = self._with_record(frame, record)
        if request.retain and failure is None:
            self.retained.add(request.request_id, frame)
        outbox.end(frame)

    def _bill(
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

    def _with_record(self, frame: Frame, record: UsageRecord | None) -> Frame:
        """Lets the entry keep a copy of the record."""
        if record is None:
            return frame
        return frame._replace(
            record=record.number,
            source=self._usage_log.source(record.account),
            window=record.window,
        )


def _streaming_body(request: Request) -> bytes:
    """Returns the body; whole answers of engines are streamed to the sidecar.

    Only a stream tells which weight version generated which tokens.
    """
    if not request.whole_answer or not request.path.endswith("completions"):
        return request.body
    body = orjson.loads(request.body)
    body["stream"] = True
    return orjson.dumps(body)


def _note_cut(
    endpoint: LocalEndpoint, request: Request, failure: Failure
) -> None:
    if failure.code == ResultCode.ANSWER_CUT:
        endpoint.note_cut(request)


def _failed(request: Request, failure: Failure) -> Frame:
    return Frame(
        request.stream, end=True, code=failure.code, reason=failure.reason
    )


def _refused(request: Request, status: int) -> Frame:
    return Frame(
        request.stream,
        end=True,
        code=ResultCode.ENDPOINT_REFUSED,
        reason=f"The endpoint answered {status}.",
    )


def _whole(
    request: Request, answer: Answer, body: bytes, failure: Failure | None
) -> Frame:
    if failure is not None:
        return _failed(request, failure)
    return Frame(
        request.stream,
        status=answer.status,
        content_type=answer.content_type,
        data=body,
        end=True,
    )


def _completion(
    request: Request,
    collected: CollectedAnswer,
    failure: Failure | None,
) -> Frame:
    """Returns the frame of a sample, which keeps the part that was generated.

    A cut sample carries its text and spans, so that it can be resumed.
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
