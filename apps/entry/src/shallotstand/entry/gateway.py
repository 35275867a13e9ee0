"""Serves callers' requests, independent of the HTTP server."""

from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, NamedTuple

import orjson
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.core.in_progress_counter import InProgressCounter
from shallotstand.core.prompt_blocks import hash_prompt_blocks
from shallotstand.entry.attempts import (
    AttemptRunner,
    OpenAttempt,
    RoutedRequest,
)
from shallotstand.entry.sidecars import MAX_SUBMIT_BYTES
from shallotstand.entry.traffic import (
    NullTrafficRecorder,
    RequestRecord,
    TrafficRecorder,
)
from shallotstand.link.messages import Request
from shallotstand.objects.keys import KeyRing
from shallotstand.objects.types import Catalog, ClientAccount, Key, Service
from shallotstand.serving.admission import Admission, AdmissionRequest, Permit
from shallotstand.serving.fingerprint import fingerprint

_COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
# Requests to plain services have no tokens; each is charged as a short answer.
_PLAIN_COST_TOKENS = 16
_DEFAULT_MAX_TOKENS = 256
_CHARS_PER_TOKEN = 4
_SERVER_ERROR = 500
_PRIORITIES = {"interactive": 1, "rollout": 0}
_WITHDRAWN_REASON = "The key was withdrawn."


_CANCELLED = Failure(ResultCode.CANCELLED, "The caller disconnected.")


class CallerRequest(NamedTuple):
    """A request as a front end received it.

    Attributes:
      path: Path that the caller requested.
      key: API key of the caller; empty if the caller sent none.
      body: Body of the request.
      priority: `interactive` or `rollout`.
      request_id: Identifier for logs; generated if empty.
      account: Client account of a request that shallotstand itself makes for
        a job; front ends leave it empty.
      excluded: Names of the endpoints that must not run the request.
      retain: Whether the sidecar keeps the answer until its job releases it.
    """

    path: str
    key: str
    body: bytes
    priority: str = "interactive"
    request_id: str = ""
    account: str = ""
    excluded: frozenset[str] = frozenset()
    retain: bool = False


class Route(NamedTuple):
    """Service and path that a request is routed to.

    Attributes:
      service: The service that was called.
      path: Path at the endpoint.
      fields: The decoded JSON body; for a plain service, `body` with the
        body in hexadecimal.
      whole_answer: Whether the caller wants the answer in one piece.
    """

    service: Service
    path: str
    fields: Mapping[str, Any]
    whole_answer: bool


class Principal(NamedTuple):
    """Client account and key of a request.

    Both are None on open services; the key is also None for requests that are
    made for a rollout job.
    """

    account: ClientAccount | None
    key: Key | None


class OpenAnswer:
    """An answer whose first part has arrived.

    Attributes:
      status: HTTP status of the endpoint.
      content_type: Content type of the body.
    """

    def __init__(
        self,
        opened: OpenAttempt,
        permit: Permit,
        on_close: Callable[["OpenAnswer"], None],
    ):
        self.stream = opened.stream
        self.status = self.stream.head.status or 200
        self.content_type = self.stream.head.content_type
        self._opened = opened
        self._permit = permit
        self._on_close = on_close
        self._closed = False

    @property
    def is_normal(self) -> bool:
        """Whether the endpoint finished the answer without an error."""
        last = self.stream.last
        return (
            last is not None
            and last.code == ResultCode.OK
            and self.status < _SERVER_ERROR
        )

    @property
    def code(self) -> ResultCode:
        """Result code of the answer; CANCELLED until the answer ends."""
        last = self.stream.last
        if last is None:
            return ResultCode.CANCELLED
        if last.code == ResultCode.OK and self.status >= _SERVER_ERROR:
            return ResultCode.ENDPOINT_ERROR
        return ResultCode(last.code)

    @property
    def is_whole(self) -> bool:
        """Whether the first part is the whole answer."""
        return self.stream.last is not None

    async def chunks(self) -> AsyncIterator[bytes | Failure]:
        """Yields the body; a Failure comes last if the answer was cut."""
        async for chunk in self.stream.chunks():
            yield chunk

    def cut(self, code: ResultCode, reason: str) -> None:
        """Ends the answer early, for example when its key is withdrawn."""
        self._opened.endpoint.sidecar.cut_stream(self.stream, code, reason)

    def close(self) -> None:
        """Ends the answer and cancels the request if it still runs."""
        if self._closed:
            return
        self._closed = True
        self._opened.close()
        self._permit.release(self.stream.tokens)
        self._on_close(self)


class Gateway:
    """Authenticates, admits, routes and retries requests.

    Attributes:
      in_progress: Counts the requests that have arrived and not ended.
      refusal: Why new requests are refused; None while they are served.
      traffic: Records each request.
      keyed_refusal: Returns why requests with a key are refused, or None.
    """

    def __init__(
        self,
        attempts: AttemptRunner,
        admission: Admission,
        clock: Clock,
        on_normal_end: Callable[[bytes], None] = lambda _: None,
    ):
        """Initializes the gateway without a configuration.

        Args:
          attempts: Runs requests that were admitted.
          admission: Admits requests.
          clock: Clock of the process.
          on_normal_end: Called with the fingerprint of each request that an
            endpoint finished.
        """
        self._attempts = attempts
        self._admission = admission
        self._clock = clock
        self._on_normal_end = on_normal_end
        self._catalog = Catalog.empty()
        self._keys = KeyRing(())
        self._answers_by_key: dict[str, set[OpenAnswer]] = {}
        self.in_progress = InProgressCounter()
        self.traffic: TrafficRecorder = NullTrafficRecorder()
        self.refusal: Failure | None = None
        self.keyed_refusal: Callable[[], Failure | None] = lambda: None

    def adopt(self, catalog: Catalog) -> None:
        """Applies a new configuration to requests that arrive from now on.

        Answers in progress are cut if their key was withdrawn or changed.
        """
        withdrawn = [
            name
            for name, key in self._catalog.keys_by_name.items()
            if catalog.keys_by_name.get(name) != key
        ]
        self._catalog = catalog
        self._keys = KeyRing(catalog.keys_by_name.values())
        for name in withdrawn:
            for answer in tuple(self._answers_by_key.get(name, ())):
                answer.cut(ResultCode.STREAM_KEY_WITHDRAWN, _WITHDRAWN_REASON)

    @property
    def catalog(self) -> Catalog:
        """The configuration in force."""
        return self._catalog

    def find_account(self, secret: str) -> str | Failure:
        """Returns the name of the client account that owns a key.

        Errors:
          KEY_MISSING: The key is empty.
          KEY_UNKNOWN: No client account owns the key.
          CONFIG_UNCONFIRMED: This entry's configuration is not confirmed.
        """
        refusal = self.keyed_refusal()
        if refusal is not None:
            return refusal
        if not secret:
            return Failure(
                ResultCode.KEY_MISSING, "The request has no bearer key."
            )
        key = self._keys.find(secret)
        if key is None:
            return Failure(ResultCode.KEY_UNKNOWN, "The key is unknown.")
        return key.account

    async def serve(self, request: CallerRequest) -> OpenAnswer | Failure:
        """Runs a request until the first part of its answer has arrived.

        Errors:
          Any code from 1000 to 2099; those from 1000 to 1099 mean "not run".
        """
        if self.refusal is not None:
            return self.refusal
        self.in_progress.begin()
        record = self.traffic.record_arrival()
        answer: OpenAnswer | Failure = _CANCELLED
        try:
            answer = await self._serve(request, record)
        finally:
            # For an open answer, both happen when the answer is closed.
            if isinstance(answer, Failure):
                self.traffic.record_end(record, answer.code)
                self.in_progress.end()
        return answer

    async def _serve(
        self, request: CallerRequest, record: RequestRecord
    ) -> OpenAnswer | Failure:
        route = self._find_route(request)
        if isinstance(route, Failure):
            return route
        record.service = route.service.name
        principal = self._authenticate(request, route.service)
        if isinstance(principal, Failure):
            return principal
        record.account = principal.account.name if principal.account else ""
        deadline = self._clock.monotonic() + route.service.deadline_s
        routed = _routed_request(request, route, principal, deadline)
        refusal = self._attempts.refusal(routed)
        if refusal is not None:
            return refusal
        permit = await self._admission.admit(
            _admission_request(routed, principal, request.priority)
        )
        if isinstance(permit, Failure):
            return permit
        # Admission can take longer than the time within which a withdrawal
        # must take effect, so the key is checked again.
        refusal = self._key_refusal(principal)
        if refusal is not None:
            permit.release(0)
            return refusal
        try:
            opened = await self._attempts.run(routed)
        except BaseException:
            permit.release(0)
            raise
        if isinstance(opened, Failure):
            permit.release(0)
            return opened
        self.traffic.record_answer_start(record)
        if self._is_withdrawn(principal):
            # The answer was not open yet when the withdrawal was adopted, so
            # `adopt` did not cut it.
            opened.close()
            permit.release(opened.stream.tokens)
            return Failure(ResultCode.STREAM_KEY_WITHDRAWN, _WITHDRAWN_REASON)
        return self._track_answer(opened, routed, permit, principal, record)

    def _is_withdrawn(self, principal: Principal) -> bool:
        key = principal.key
        return (
            key is not None and self._catalog.keys_by_name.get(key.name) != key
        )

    def _key_refusal(self, principal: Principal) -> Failure | None:
        """Returns why a key that was valid on arrival is refused now."""
        if principal.key is None:
            return None
        if self._is_withdrawn(principal):
            return Failure(ResultCode.KEY_WITHDRAWN, _WITHDRAWN_REASON)
        return self.keyed_refusal()

    def _track_answer(
        self,
        opened: OpenAttempt,
        routed: RoutedRequest,
        permit: Permit,
        principal: Principal,
        record: RequestRecord,
    ) -> OpenAnswer:
        key = principal.key.name if principal.key else ""
        answers = self._answers_by_key.setdefault(key, set())

        def on_close(answer: OpenAnswer) -> None:
            answers.discard(answer)
            self.traffic.record_end(record, answer.code, answer.stream.tokens)
            if answer.is_normal:
                self._on_normal_end(routed.message.fingerprint)
            self.in_progress.end()

        answer = OpenAnswer(opened, permit, on_close)
        answers.add(answer)
        return answer

    def _find_route(self, request: CallerRequest) -> Route | Failure:
        if len(request.body) > MAX_SUBMIT_BYTES:
            return Failure(
                ResultCode.BODY_TOO_LARGE,
                f"The request body is larger than {MAX_SUBMIT_BYTES} bytes.",
            )
        if request.path in _COMPLETION_PATHS:
            return self._find_model_route(request)
        for service in self._catalog.services_by_name.values():
            if service.kind == "plain" and _is_under_path(
                request.path, service.path
            ):
                return Route(
                    service,
                    request.path[len(service.path) :] or "/",
                    {"body": request.body.hex()},
                    whole_answer=True,
                )
        return Failure(ResultCode.ROUTE_UNKNOWN, "No service has this path.")

    def _find_model_route(self, request: CallerRequest) -> Route | Failure:
        try:
            fields = orjson.loads(request.body)
        except orjson.JSONDecodeError as error:
            return Failure(
                ResultCode.BAD_REQUEST, f"The body is not JSON: {error}"
            )
        if not isinstance(fields, dict):
            return Failure(
                ResultCode.BAD_REQUEST, "The body is not a JSON object."
            )
        name = str(fields.get("model"))
        service = self._catalog.services_by_name.get(name)
        if service is None or service.kind != "model":
            return Failure(
                ResultCode.ROUTE_UNKNOWN, f"No model is named {name!r}."
            )
        problem = _check_completion(fields)
        if problem is not None:
            return problem
        return Route(
            service, request.path, fields, not fields.get("stream", False)
        )

    def _authenticate(
        self, request: CallerRequest, service: Service
    ) -> Principal | Failure:
        if request.account:
            account = self._catalog.accounts_by_name.get(request.account)
            if account is None:
                return Failure(
                    ResultCode.NOT_ALLOWED, "The client account is unknown."
                )
            return Principal(account, None)
        if service.open:
            return Principal(None, None)
        refusal = self.keyed_refusal()
        if refusal is not None:
            return refusal
        if not request.key:
            return Failure(
                ResultCode.KEY_MISSING, "The request has no bearer key."
            )
        key = self._keys.find(request.key)
        if key is None:
            return Failure(ResultCode.KEY_UNKNOWN, "The key is unknown.")
        account = self._catalog.accounts_by_name[key.account]
        if service.internal and not account.internal:
            return Failure(
                ResultCode.NOT_ALLOWED,
                f"Service {service.name} is for internal client accounts.",
            )
        return Principal(account, key)


def _is_under_path(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _check_completion(fields: Mapping[str, Any]) -> Failure | None:
    """Checks the fields of a completion that shallotstand itself reads."""
    max_tokens = fields.get("max_tokens", _DEFAULT_MAX_TOKENS)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        return Failure(
            ResultCode.BAD_REQUEST, "max_tokens must be a positive integer."
        )
    if not isinstance(fields.get("stream", False), bool):
        return Failure(ResultCode.BAD_REQUEST, "stream must be a boolean.")
    if "prompt" not in fields and "messages" not in fields:
        return Failure(ResultCode.BAD_REQUEST, "prompt or messages is missing.")
    return None


def _expected_tokens(route: Route) -> float:
    """Returns the number of tokens that a request is expected to use."""
    if route.service.kind != "model":
        return _PLAIN_COST_TOKENS
    prompt = route.fields.get("prompt", "")
    prompt_tokens = len(str(prompt)) / _CHARS_PER_TOKEN
    return prompt_tokens + route.fields.get("max_tokens", _DEFAULT_MAX_TOKENS)


def _routed_request(
    request: CallerRequest,
    route: Route,
    principal: Principal,
    deadline: float,
) -> RoutedRequest:
    prompt = route.fields.get("prompt", "")
    return RoutedRequest(
        service=route.service,
        message=_sidecar_request(request, route, principal),
        fields=route.fields,
        blocks=hash_prompt_blocks(prompt) if isinstance(prompt, str) else (),
        cost=_expected_tokens(route),
        deadline=deadline,
        excluded=request.excluded,
    )


def _admission_request(
    routed: RoutedRequest, principal: Principal, priority: str
) -> AdmissionRequest:
    account = principal.account
    return AdmissionRequest(
        service=routed.service.name,
        account=account.name if account else "",
        weight=account.weight if account else 1.0,
        cost=routed.cost,
        priority=priority,
        deadline=routed.deadline,
        max_queue=routed.service.max_queue,
        max_concurrency=account.max_concurrency if account else 0,
        tokens_per_second=account.tokens_per_second if account else 0,
    )


def _sidecar_request(
    request: CallerRequest, route: Route, principal: Principal
) -> Request:
    """Builds the message for the sidecar, without the caller's key."""
    return Request(
        stream=0,
        request_id=request.request_id or new_id(),
        attempt=1,
        endpoint="",
        account=principal.account.name if principal.account else "",
        path=route.path,
        body=request.body,
        deadline_ms=0,
        priority=_PRIORITIES[request.priority],
        flush_ms=route.service.flush_ms,
        whole_answer=route.whole_answer,
        fingerprint=fingerprint(route.service.name, route.path, route.fields),
        not_run_statuses=route.service.not_run_statuses,
        retain=request.retain,
    )
