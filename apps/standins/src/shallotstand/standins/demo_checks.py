"""The checks of the demo, one function each."""

import asyncio
import collections
import itertools
from typing import NamedTuple

import aiohttp
import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.standins.demo_client import (
    Caller,
    CallerAnswer,
    completion_body,
    streamed_text,
)
from shallotstand.standins.demo_config import (
    GUEST_KEY,
    INTERNAL_PATH,
    JOB,
    MODEL,
    PLAIN_PATH,
    TRAINER_KEY,
)
from shallotstand.standins.demo_fleet import FleetPlan
from shallotstand.standins.engine import token_texts
from shallotstand.standins.scorer import score
from shallotstand.standins.trainer import Trainer, TrainerAnswer

_COMPLETIONS = "/v1/completions"
_BATCH = 48
_STEPS = 2
_STREAMS = 16
_PLAIN_CALLS = 16
_TOKENS = 12
_READY_TIMEOUT_S = 10.0


class Tally(NamedTuple):
    """What a check found.

    Attributes:
      served: Whole and right answers.
      refused: Refusals with the expected code.
      delivered: Samples of acknowledged steps.
      duplicated: Requests that ran, or samples that were delivered, more than
        once.
      lost: Requests without a right answer, and samples of steps that were
        not delivered.
      faults: One sentence for each expectation that failed.
    """

    served: int = 0
    refused: int = 0
    delivered: int = 0
    duplicated: int = 0
    lost: int = 0
    faults: tuple[str, ...] = ()

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum."""
        return Tally(*(a + b for a, b in zip(self, other, strict=True)))


class Demo(NamedTuple):
    """What every check gets."""

    plan: FleetPlan
    session: aiohttp.ClientSession

    def callers(self, key: str) -> tuple[Caller, ...]:
        """Returns a caller for each entry."""
        return tuple(
            Caller(self.session, f"http://{entry.listen}", key)
            for entry in self.plan.entries
        )

    def trainer(self, key: str) -> Trainer:
        """Returns a trainer of the demo's job."""
        urls = tuple(f"http://{entry.listen}" for entry in self.plan.entries)
        return Trainer(self.session, urls, key, JOB.name)

    async def records(self, kind: str) -> list[dict]:
        """Returns the records of the stand-ins of a kind."""
        records = []
        for endpoint in self.plan.endpoints:
            if endpoint.kind == kind:
                url = f"http://{endpoint.address}/record"
                async with self.session.get(url) as response:
                    records.append(orjson.loads(await response.read()))
        return records


async def wait_ready(demo: Demo) -> Tally:
    """Waits until every entry serves every service."""
    for caller in demo.callers(TRAINER_KEY):
        body = completion_body(MODEL, "ready", 1, stream=False)
        await caller.post_until_run(_COMPLETIONS, body, _READY_TIMEOUT_S)
        await caller.post_until_run(PLAIN_PATH, b"ready", _READY_TIMEOUT_S)
    return Tally()


async def check_whole_answers(demo: Demo) -> Tally:
    """Prompts get one whole completion each, with its weight versions."""
    prompts = [f"Draft the site plan {n}" for n in range(_BATCH)]
    answers = await _ask(demo, prompts, stream=False, priority="rollout")
    faults = [
        f"Prompt {prompt!r}: {answer.status} {answer.code}"
        for prompt, answer in zip(prompts, answers, strict=True)
        if not _is_completion(prompt, answer)
    ]
    finished = collections.Counter(
        run["prompt"]
        for record in await demo.records("model")
        for run in record["runs"]
        if run["finished"]
    )
    right = len(prompts) - len(faults)
    return Tally(
        served=right,
        duplicated=sum(finished[prompt] > 1 for prompt in prompts),
        lost=len(faults),
        faults=tuple(faults),
    )


async def check_steps(demo: Demo) -> Tally:
    """A trainer takes whole steps, each sample once."""
    trainer = demo.trainer(TRAINER_KEY)
    expected = JOB.group_size * JOB.groups_per_step
    delivered: collections.Counter[str] = collections.Counter()
    faults: list[str] = []
    for number in range(_STEPS):
        groups = step_groups(number)
        step = await trainer.take(number, groups)
        found = step_faults(number, step)
        if not found:
            found = await _commit_faults(trainer, number, step.digest)
        if not found:
            delivered.update(sample["id"] for sample in step.samples)
        faults += [f"Step {number}: {fault}" for fault in found]
    return Tally(
        served=len(delivered),
        delivered=delivered.total(),
        duplicated=delivered.total() - len(delivered),
        lost=expected * _STEPS - len(delivered),
        faults=tuple(faults),
    )


async def check_streams(demo: Demo) -> Tally:
    """Streamed answers arrive whole and in order."""
    prompts = [f"Describe plot {n}" for n in range(_STREAMS)]
    answers = await _ask(demo, prompts, stream=True, priority="interactive")
    faults = [
        f"Stream {prompt!r}: {answer.status} {answer.code}"
        for prompt, answer in zip(prompts, answers, strict=True)
        if streamed_text(answer.body) != expected_text(prompt)
    ]
    return Tally(
        served=len(prompts) - len(faults),
        lost=len(faults),
        faults=tuple(faults),
    )


async def check_plain_calls(demo: Demo) -> Tally:
    """Calls of a service that must not be repeated run exactly once."""
    callers = itertools.cycle(demo.callers(GUEST_KEY))
    bodies = [f"quote {n}" for n in range(_PLAIN_CALLS)]
    answers = await asyncio.gather(
        *(
            next(callers).post(PLAIN_PATH + "/new", body.encode())
            for body in bodies
        )
    )
    expected = [{"path": "/new", "body": body, "runs": 1} for body in bodies]
    faults = [
        f"Plain call {fields['body']!r}: {answer.status} {answer.code}"
        for fields, answer in zip(expected, answers, strict=True)
        if answer.status != 200 or orjson.loads(answer.body) != fields
    ]
    runs = [
        count
        for record in await demo.records("plain")
        for count in record["runs"].values()
    ]
    return Tally(
        served=len(bodies) - len(faults),
        duplicated=sum(count > 1 for count in runs),
        lost=len(faults),
        faults=tuple(faults),
    )


async def check_refusals(demo: Demo) -> Tally:
    """Requests that must not run are refused with their codes."""
    good = completion_body(MODEL, "refused", 1, stream=False)
    other = completion_body("unknown", "refused", 1, stream=False)
    cases = (
        ("", _COMPLETIONS, good, ResultCode.KEY_MISSING),
        ("wrong", _COMPLETIONS, good, ResultCode.KEY_UNKNOWN),
        (GUEST_KEY, _COMPLETIONS, other, ResultCode.ROUTE_UNKNOWN),
        (GUEST_KEY, _COMPLETIONS, b"{", ResultCode.BAD_REQUEST),
        (GUEST_KEY, "/nowhere", b"", ResultCode.ROUTE_UNKNOWN),
        (GUEST_KEY, INTERNAL_PATH, b"", ResultCode.NOT_ALLOWED),
        (
            GUEST_KEY,
            f"/v1/jobs/{JOB.name}/steps/0",
            b"",
            ResultCode.NOT_ALLOWED,
        ),
    )
    faults = []
    for key, path, body, code in cases:
        for caller in demo.callers(key):
            answer = await caller.post(path, body)
            if answer.code != code:
                faults.append(f"{path}: {answer.code} in place of {code}")
    expected = len(cases) * len(demo.plan.entries)
    return Tally(refused=expected - len(faults), faults=tuple(faults))


async def check_keys_stay(demo: Demo) -> Tally:
    """No endpoint has seen a caller's key."""
    kinds = ("model", "plain", "scorer")
    records = [r for kind in kinds for r in await demo.records(kind)]
    faults = tuple(
        "An endpoint got an Authorization header."
        for record in records
        if "authorization" in record["headers"]
    )
    return Tally(faults=faults)


CHECKS = (
    check_whole_answers,
    check_steps,
    check_streams,
    check_plain_calls,
    check_refusals,
    check_keys_stay,
)


def step_groups(number: int) -> list[dict]:
    """Returns the groups of a step, each with a prompt of its own."""
    return [
        {"prompt": f"Plan {number} of site {n}", "max_tokens": _TOKENS}
        for n in range(JOB.groups_per_step)
    ]


def step_faults(number: int, step: TrainerAnswer) -> list[str]:
    """Returns what is wrong with a fetched step.

    Args:
      number: Number of the step.
      step: The answer to the fetch of a step of `step_groups`.
    """
    if step.status != 200:
        return [f"{step.status} {step.code}"]
    prompts = [group["prompt"] for group in step_groups(number)]
    places = [(s["group"], s["index"]) for s in step.samples]
    slots = itertools.product(range(len(prompts)), range(JOB.group_size))
    faults = [] if places == list(slots) else ["Slots are missing."]
    for sample in step.samples:
        prompt = prompts[sample["group"]]
        text = expected_text(prompt)
        if sample["weight_spans"] != [{"version": "v1", "tokens": _TOKENS}]:
            faults.append(f"{sample['id']} has wrong weight versions.")
        if sample["text"] != text or sample["score"] != score(prompt, text):
            faults.append(f"{sample['id']} has a wrong text or score.")
    return faults


async def _commit_faults(
    trainer: Trainer, number: int, digest: str
) -> list[str]:
    """Acknowledges a step twice, then asks for it again."""
    first = await trainer.acknowledge(number, digest)
    second = await trainer.acknowledge(number, digest)
    again = await trainer.fetch(number)
    faults = []
    if first.status != 200 or first != second:
        faults.append(f"Acknowledged with {first.code}, {second.code}.")
    if again.code != ResultCode.STEP_ACKNOWLEDGED:
        faults.append(f"Fetched again with {again.code}.")
    return faults


def expected_text(prompt: str) -> str:
    """Returns the text that every engine generates for a prompt."""
    return "".join(itertools.islice(token_texts(prompt), _TOKENS))


async def _ask(
    demo: Demo, prompts: list[str], stream: bool, priority: str
) -> list[CallerAnswer]:
    callers = itertools.cycle(demo.callers(TRAINER_KEY))
    return await asyncio.gather(
        *(
            next(callers).post(
                _COMPLETIONS,
                completion_body(MODEL, prompt, _TOKENS, stream),
                priority,
            )
            for prompt in prompts
        )
    )


def _is_completion(prompt: str, answer: CallerAnswer) -> bool:
    if answer.status != 200:
        return False
    sample = orjson.loads(answer.body)
    return (
        sample["choices"][0]["text"] == expected_text(prompt)
        and sample["weight_spans"] == [{"version": "v1", "tokens": _TOKENS}]
        and sample["usage"]["completion_tokens"] == _TOKENS
    )
