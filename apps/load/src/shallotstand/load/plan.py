"""The seeded plan of a load run."""

import random
from collections.abc import Iterator
from typing import NamedTuple

import orjson
from shallotstand.load.settings import LoadAccount, LoadSettings
from shallotstand.settings.options import SocketAddress

_ALPHABET = "abcdefghijklmnopqrstuvwxyz "


class PlannedRequest(NamedTuple):
    """A request of the plan.

    Attributes:
      at_s: Seconds after the start of the run.
      account: Who sends it.
      target: Where it is sent.
      body: JSON body.
      streamed: Whether the answer is asked for as a stream.
      priority: `interactive` or `rollout`.
    """

    at_s: float
    account: LoadAccount
    target: SocketAddress
    body: bytes
    streamed: bool
    priority: str


def plan_requests(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yields the requests of a run in the order of their arrival.

    Arrivals are independent of answers and exponentially spaced, as those of
    many callers are. The same settings give the same plan.
    """
    rng = random.Random(settings.seed)
    half = settings.prompt_chars // 2
    beginnings = [_text(rng, half) for _ in range(settings.prefixes)]
    shares = [account.share for account in settings.accounts]
    at_s = 0.0
    for index in range(settings.requests):
        at_s += rng.expovariate(settings.rate_per_s)
        if at_s > settings.duration_s:
            return
        streamed = rng.random() < settings.streaming
        is_rollout = rng.random() < settings.rollouts
        yield PlannedRequest(
            at_s=at_s,
            account=rng.choices(settings.accounts, shares)[0],
            target=settings.targets[index % len(settings.targets)],
            body=_body(settings, _prompt(rng, settings, beginnings), streamed),
            streamed=streamed,
            priority="rollout" if is_rollout else "interactive",
        )


def _prompt(
    rng: random.Random, settings: LoadSettings, beginnings: list[str]
) -> str:
    if rng.random() >= settings.shared_prompts:
        return _text(rng, settings.prompt_chars)
    beginning = rng.choice(beginnings)
    return beginning + _text(rng, settings.prompt_chars - len(beginning))


def _text(rng: random.Random, length: int) -> str:
    return "".join(rng.choices(_ALPHABET, k=length))


def _body(settings: LoadSettings, prompt: str, streamed: bool) -> bytes:
    return orjson.dumps(
        {
            "model": settings.model,
            "prompt": prompt,
            "max_tokens": settings.max_tokens,
            "stream": streamed,
        }
    )
