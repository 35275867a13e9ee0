"""Runs a request on endpoints: retries, hedges and resumed answers."""

import asyncio
from collections.abc import Mapping
from typing import Any, NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.sidecars import Fleet, RemoteEndpoint
from shallotstand.entry.streams import AnswerStream
from shallotstand.link.messages import Frame, Request, Span
from shallotstand.objects.types import Service
from shallotstand.serving import resume
from shallotstand.serving.hedging import HedgeKind, HedgePolicy
from shallotstand.serving.quarantine import (
    CRASHES_TO_QUARANTINE,
    Quarantine,
)
from shallotstand.serving.retries import (
    RetryPolicy,
    may_have_crashed,
    reported_failure,
)
from shallotstand.serving.routing import Candidate, RouteQuery, Router
from shallotstand.serving.shortlist import Shortlist


class RoutedRequest(NamedTuple):
    """A request with all that is needed to run it on an endpoint.

    Attributes:
      service: Service that runs the request.
      message: Message for the sidecar; each attempt fills in its own number,
        stream, endpoint and deadline.
      fields: The decoded JSON body.
      blocks: Hashes of the prompt's blocks.
      cost: Expected number of tokens.
      deadline: Monotonic time in seconds at which the answer is due.
      excluded: Names of the endpoints that must not run the request.
    """

    service: Service
    message: Request
    fields: Mapping[str, Any]
    blocks: tuple[int, ...]
    cost: float
    deadline: float
    excluded: frozenset[str] = frozenset()


class OpenAttempt(NamedTuple):
    """One copy of a request that was sent to an endpoint.

    Attributes:
      stream: Answer to this copy.
      endpoint: Endpoint that runs this copy.
      resumed_from: Generated text that this copy continues. Two copies of a
        request can continue different texts.
    """

    stream: AnswerStream
    endpoint: RemoteEndpoint
    resumed_from: resume.Generated = resume.Generated()

    def close(self) -> None:
        """Ends the attempt and cancels it at the endpoint if it still runs."""
        self.endpoint.in_flight -= 1
        self.endpoint.sidecar.close_stream(self.stream)


class AttemptPolicies(NamedTuple):
    """Policies that decide about attempts: where, when and how often."""

    shortlist: Shortlist
    router: Router
    retries: RetryPolicy
    hedges: HedgePolicy
    quarantine: Quarantine


class AttemptRunner:
    """Runs requests on the endpoints of the fleet."""

    def __init__(
        self, zone: str, fleet: Fleet, policies: AttemptPolicies, clock: Clock
    ):
        self._zone = zone
        self._fleet = fleet
        self._policies = policies
        self._clock = clock

    async def run(self, routed: RoutedRequest) -> OpenAttempt | Failure:
        """Runs a request until an endpoint answers or retries are exhausted.

        Errors:
          QUARANTINED: The request crashed two endpoints.
          Any code from 1000 to 2099 that an attempt failed with. A code that
          means "not run" is returned only if no attempt ran the request.
        """
        self._policies.retries.record_request()
        return await _AttemptLoop(self, routed).run()

    def remaining_s(self, routed: RoutedRequest) -> float:
        """Returns the seconds until the deadline of the request."""
        return routed.deadline - self._clock.monotonic()

    def refusal(self, routed: RoutedRequest) -> Failure | None:
        """Returns why the request must not run; None if it may run."""
        fingerprint = routed.message.fingerprint
        return self._policies.quarantine.refusal(fingerprint)

    def is_suspect(self, routed: RoutedRequest) -> bool:
        """Returns whether the request is suspected of crashing endpoints.

        An endpoint runs at most one suspect at a time.
        """
        return self._policies.quarantine.is_suspect(routed.message.fingerprint)

    def retry_delay_s(
        self, failure: Failure, routed: RoutedRequest, failed_attempts: int
    ) -> float | None:
        """Returns the seconds until the next attempt; None to give up."""
        return self._policies.retries.retry_delay_s(
            failure.code,
            routed.service.idempotent,
            failed_attempts,
            self.remaining_s(routed),
        )

    def _choose(
        self,
        endpoints: Mapping[str, RemoteEndpoint],
        names: list[str],
        query: RouteQuery,
    ) -> Candidate | Failure:
        candidates = [endpoints[name].candidate() for name in names]
        return self._policies.router.choose(candidates, query)

    def open(
        self,
        routed: RoutedRequest,
        message: Request,
        excluded: frozenset[str],
    ) -> OpenAttempt | Failure:
        """Chooses an endpoint and sends the request to it.

        Errors:
          NO_ENDPOINT: No endpoint can take the request; nothing was sent.
        """
        endpoints = self._fleet.endpoints(routed.service.name)
        query = RouteQuery(self._zone, routed.blocks, excluded)
        names = self._policies.shortlist.candidate_names(endpoints, query)
        chosen = self._choose(endpoints, names, query)
        if isinstance(chosen, Failure) and len(names) < len(endpoints):
            chosen = self._choose(endpoints, list(endpoints), query)
        if isinstance(chosen, Failure):
            return chosen
        endpoint = endpoints[chosen.name]
        remaining_ms = max(0, int(self.remaining_s(routed) * 1000))
        stream = endpoint.sidecar.open_stream(
            message._replace(endpoint=chosen.name, deadline_ms=remaining_ms)
        )
        if isinstance(stream, Failure):
            return stream
        endpoint.in_flight += 1
        return OpenAttempt(stream, endpoint)

    def hedge_delay_s(
        self, routed: RoutedRequest, message: Request
    ) -> float | None:
        """Returns the seconds until a hedge is sent; None to send no hedge.

        Streamed answers are not hedged: the tokens of the slower copy would
        be billed as a cancelled answer.
        """
        safe = routed.service.idempotent and message.whole_answer
        if not safe or message.suspect:
            return None
        return self._policies.hedges.hedge_delay_s(_hedge_kind(routed))

    def try_spend_hedge_budget(self) -> bool:
        """Takes one hedge from the budget; False if the budget is spent."""
        return self._policies.hedges.try_spend_budget()

    def record_duration(self, routed: RoutedRequest, started: float) -> None:
        """Records the duration of an answer that was not streamed."""
        if routed.message.whole_answer:
            seconds = self._clock.monotonic() - started
            self._policies.hedges.record_duration(_hedge_kind(routed), seconds)

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock.monotonic()


class _AttemptLoop:
    """The sequence of attempts for one request."""

    def __init__(self, attempts: AttemptRunner, routed: RoutedRequest):
        self._attempts = attempts
        self._routed = routed
        self._message = routed.message
        self._failures: list[Failure] = []
        self._excluded = routed.excluded
        self._generated = resume.Generated()
        self._sent_count = 0

    async def run(self) -> OpenAttempt | Failure:
        """Sends the request until an endpoint answers or retries end."""
        while True:
            refusal = self._attempts.refusal(self._routed)
            if refusal is not None:
                self._failures.append(refusal)
                return reported_failure(self._failures)
            outcome = await self._attempt()
            if not isinstance(outcome, Failure):
                return self._join_pieces(outcome)
            self._failures.append(outcome)
            if self._count_crashes() >= CRASHES_TO_QUARANTINE:
                # The Crash message that quarantines the request may still be
                # in transit; another attempt could crash a third endpoint.
                return reported_failure(self._failures)
            delay = self._attempts.retry_delay_s(
                outcome, self._routed, self._count_attempts_for_delay(outcome)
            )
            if delay is None:
                return reported_failure(self._failures)
            await asyncio.sleep(delay)

    def _count_crashes(self) -> int:
        """Returns how many endpoints the request may have crashed."""
        return sum(may_have_crashed(f.code) for f in self._failures)

    def _count_attempts_for_delay(self, failure: Failure) -> int:
        """Returns how many failed attempts determine the retry delay.

        Attempts refused with SUSPECT_BUSY are counted separately, so that
        waiting for another suspect to end uses up no attempts.
        """
        busy = ResultCode.SUSPECT_BUSY
        return sum(
            (f.code == busy) == (failure.code == busy) for f in self._failures
        )

    async def _attempt(self) -> OpenAttempt | Failure:
        """Sends the request, and a hedge if the answer is late."""
        opened = self._open(self._excluded)
        if isinstance(opened, Failure) and self._excluded:
            # An endpoint that failed earlier is better than no endpoint.
            opened = self._open(frozenset())
        if isinstance(opened, Failure):
            return opened
        started = self._attempts.now()
        outcome = await self._first_answer(opened)
        if not isinstance(outcome, Failure):
            self._attempts.record_duration(self._routed, started)
        return outcome

    def _open(self, excluded: frozenset[str]) -> OpenAttempt | Failure:
        # If an earlier attempt was cut off, the request may have crashed the
        # endpoint that ran it; the Crash message can arrive after this attempt
        # is sent.
        message = self._message._replace(
            attempt=self._sent_count + 1,
            suspect=self._count_crashes() > 0
            or self._attempts.is_suspect(self._routed),
        )
        opened = self._attempts.open(self._routed, message, excluded)
        if not isinstance(opened, Failure):
            self._sent_count += 1
            opened = opened._replace(resumed_from=self._generated)
        return opened

    async def _first_answer(self, first: OpenAttempt) -> OpenAttempt | Failure:
        """Returns the first copy that answers and cancels the other."""
        copies = {asyncio.ensure_future(first.stream.wait_for_head()): first}
        try:
            async with asyncio.timeout(
                self._attempts.remaining_s(self._routed)
            ):
                await self._wait_or_hedge(copies)
                return await self._first_success(copies)
        except TimeoutError:
            return Failure(
                ResultCode.ENDPOINT_TIMEOUT, "No answer before the deadline."
            )
        finally:
            # Runs also when the caller disconnects and this task is cancelled.
            for future, opened in copies.items():
                future.cancel()
                opened.close()

    async def _wait_or_hedge(
        self, copies: dict[asyncio.Future, OpenAttempt]
    ) -> None:
        (opened,) = copies.values()
        delay = self._attempts.hedge_delay_s(self._routed, self._message)
        if delay is None:
            return
        done, _ = await asyncio.wait(copies, timeout=delay)
        if done or not self._attempts.try_spend_hedge_budget():
            return
        hedge = self._open(self._excluded | {opened.endpoint.info.name})
        if not isinstance(hedge, Failure):
            copies[asyncio.ensure_future(hedge.stream.wait_for_head())] = hedge

    async def _first_success(
        self, copies: dict[asyncio.Future, OpenAttempt]
    ) -> OpenAttempt | Failure:
        """Removes and returns the first copy that answers.

        Errors:
          The failure to report, if every copy failed.
        """
        failures: list[Failure] = []
        while copies:
            done, _ = await asyncio.wait(
                copies, return_when=asyncio.FIRST_COMPLETED
            )
            for future in done:
                opened = copies.pop(future)
                outcome = future.result()
                if not isinstance(outcome, Failure):
                    return opened
                self._record_failure(opened, outcome)
                opened.close()
                failures.append(outcome)
        return reported_failure(failures)

    def _record_failure(self, opened: OpenAttempt, failure: Failure) -> None:
        if failure.code != ResultCode.SUSPECT_BUSY:
            self._excluded |= {opened.endpoint.info.name}
        self._save_partial_answer(opened.resumed_from, opened.stream.last)

    def _save_partial_answer(
        self, resumed_from: resume.Generated, last: Frame | None
    ) -> None:
        """Saves the text of an answer that was cut, to resume from it.

        Only answers that are not streamed are resumed.
        """
        if last is None or not last.data or not self._is_resumable():
            return
        extended = resume.add_piece(resumed_from, last.data, last.spans)
        remaining = resume.remaining_tokens(self._routed.fields, extended)
        if extended.tokens <= self._generated.tokens or remaining == 0:
            # An answer cut after its last token lacks the final counts, such
            # as the number of prompt tokens, so its last piece is generated
            # again.
            return
        self._generated = extended
        body = resume.continuation_body(self._routed.fields, extended)
        self._message = self._message._replace(body=body)

    def _is_resumable(self) -> bool:
        routed = self._routed
        return (
            routed.service.idempotent
            and routed.message.whole_answer
            and routed.service.kind == "model"
            and resume.is_resumable(routed.message.path, routed.fields)
        )

    def _join_pieces(self, opened: OpenAttempt) -> OpenAttempt | Failure:
        """Joins the pieces of a resumed answer into one answer."""
        last = opened.stream.last
        if not opened.resumed_from.tokens or last is None:
            return opened
        joined = resume.join_answer(opened.resumed_from, last.data, last.spans)
        if joined is None:
            opened.close()
            return Failure(
                ResultCode.ENDPOINT_BAD_ANSWER,
                "The resumed answer is not a completion.",
            )
        joined_frame = last._replace(
            data=joined.body,
            spans=tuple(Span(*span) for span in joined.spans),
            prompt_tokens=joined.prompt_tokens,
            completion_tokens=joined.completion_tokens,
        )
        opened.stream.head = opened.stream.last = joined_frame
        return opened


def _hedge_kind(routed: RoutedRequest) -> HedgeKind:
    return HedgeKind.from_cost(routed.service.name, routed.cost)
