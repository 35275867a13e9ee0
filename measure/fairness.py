"""Measures how admission shares five engines among eight accounts."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from shallotstand.core.failure import Failure
from shallotstand.serving.admission import Admission, AdmissionRequest
from shallotstand.serving.fair_queue import FairAdmission
from shallotstand.serving.first_come import FirstComeAdmission

from measure.figure import Figure, percentile
from measure.simulated_time import LoopClock, run_simulated

SLOTS = 40  # five engines of eight
TOKEN_S = 0.002
CAPACITY = SLOTS / TOKEN_S  # tokens a second
DURATION_S = 40.0
WARM_UP_S = 5.0
MEAN_TOKENS = 110
MAX_TOKENS = 256
SHARE_S = 0.2
SILENCE_S = 3.0  # after which the entries forget a lost one


class Account(NamedTuple):
    """A client account of the load.

    Attributes:
      name: Name of the account.
      weight: Its weight.
      demand: Tokens that it asks for, as a share of the capacity.
      entries: Entries that it calls.
    """

    name: str
    weight: float
    demand: float
    entries: tuple[int, ...] = (0,)


class Result(NamedTuple):
    """What one run served.

    Attributes:
      tokens_by_account: Tokens of answers in time, after the warm-up.
      offered_by_account: Tokens asked for in the same time.
      waits_by_account: Seconds until admission.
      late_tokens: Tokens of answers after their deadline.
    """

    tokens_by_account: Counter[str]
    offered_by_account: Counter[str]
    waits_by_account: dict[str, list[float]]
    late_tokens: int


class Scenario(NamedTuple):
    """One run.

    Attributes:
      accounts: Client accounts.
      entries: Number of entries.
      deadline_s: Deadline of each request.
      share_loss: Share of Share messages that are lost; 1 for none sent.
      lost_entry_at: Time at which the last entry is lost; infinite for never.
      fair: Whether admission is fair or by arrival.
    """

    accounts: tuple[Account, ...]
    entries: int = 1
    deadline_s: float = 10.0
    share_loss: float = 0.0
    lost_entry_at: float = math.inf
    fair: bool = True


def accounts(*entries_of_each: tuple[int, ...]) -> tuple[Account, ...]:
    """Returns two large accounts, five small ones and a flooding one."""
    rows = [("large-1", 4.0, 0.5), ("large-2", 4.0, 0.5)]
    rows += [(f"small-{n}", 1.0, 0.05) for n in range(1, 6)]
    rows += [("flooding", 1.0, 3.0)]
    entries = entries_of_each or ((0,),)
    return tuple(
        Account(*row, entries[number % len(entries)])
        for number, row in enumerate(rows)
    )


def entitlements(
    scenario: Scenario, offered_by_account: Counter[str]
) -> dict[str, float]:
    """Divides the capacity by weight; what one leaves goes to the rest.

    Args:
      scenario: The run.
      offered_by_account: Tokens that each account asked for.

    Returns:
      Tokens that each account is entitled to after the warm-up.
    """
    whole = CAPACITY * (DURATION_S - WARM_UP_S)
    members = [
        account._replace(demand=offered_by_account[account.name] / whole)
        for account in scenario.accounts
    ]
    left, open_members = 1.0, list(members)
    shares: dict[str, float] = {}
    while open_members:
        unit = left / sum(m.weight for m in open_members)
        content = [m for m in open_members if m.demand <= unit * m.weight]
        if not content:
            shares.update({m.name: unit * m.weight for m in open_members})
            break
        shares.update({m.name: m.demand for m in content})
        left -= sum(m.demand for m in content)
        open_members = [m for m in open_members if m not in content]
    return {name: share * whole for name, share in shares.items()}


class _Run:
    """Entries in front of one pool of slots."""

    def __init__(self, scenario: Scenario, rng: random.Random):
        clock = LoopClock()
        kind = FairAdmission if scenario.fair else FirstComeAdmission
        self._scenario = scenario
        self._rng = rng
        self._admissions: list[Admission] = [
            kind(clock) for _ in range(scenario.entries)
        ]
        self._pool = asyncio.Semaphore(SLOTS)
        self._result = Result(
            Counter(), Counter(), {a.name: [] for a in scenario.accounts}, 0
        )
        self._late = 0

    async def run(self) -> Result:
        """Runs the scenario."""
        for admission in self._admissions:
            admission.set_capacity("drafts", SLOTS)
        tasks = [asyncio.create_task(self._exchange())]
        tasks += [
            asyncio.create_task(self._offer(account, random.Random(seed)))
            for account, seed in zip(
                self._scenario.accounts, self._seeds(), strict=False
            )
        ]
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            task.cancel()
        return self._result._replace(late_tokens=self._late)

    def _seeds(self) -> Iterator[int]:
        while True:
            yield self._rng.randrange(1 << 30)

    def _live(self) -> range:
        now = asyncio.get_running_loop().time()
        lost = now >= self._scenario.lost_entry_at
        return range(self._scenario.entries - lost)

    async def _offer(self, account: Account, rng: random.Random) -> None:
        rate = account.demand * CAPACITY / MEAN_TOKENS
        background = set()
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            live = [e for e in account.entries if e in self._live()]
            entry = rng.choice(live or list(self._live()))
            tokens = rng.randint(20, 2 * MEAN_TOKENS - 20)
            if asyncio.get_running_loop().time() > WARM_UP_S:
                self._result.offered_by_account[account.name] += tokens
            task = asyncio.create_task(self._request(account, entry, tokens))
            background.add(task)
            task.add_done_callback(background.discard)

    async def _request(self, account: Account, entry: int, tokens: int) -> None:
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        deadline = arrived + self._scenario.deadline_s
        permit = await self._admissions[entry].admit(
            AdmissionRequest(
                service="drafts",
                account=account.name,
                weight=account.weight,
                cost=MAX_TOKENS,
                priority="interactive",
                deadline=deadline,
                max_queue=100,
                max_concurrency=0,
                tokens_per_second=0,
            )
        )
        if isinstance(permit, Failure):
            return
        if arrived > WARM_UP_S:
            waits = self._result.waits_by_account[account.name]
            waits.append(loop.time() - arrived)
        async with self._pool:
            await asyncio.sleep(tokens * TOKEN_S)
        permit.release(tokens)
        if loop.time() > deadline:
            self._late += tokens
        elif loop.time() > WARM_UP_S:
            self._result.tokens_by_account[account.name] += tokens

    def _forget_lost(self) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._scenario.lost_entry_at + SILENCE_S:
            for admission in self._admissions:
                admission.forget_peer(str(self._scenario.entries - 1))

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(SHARE_S)
            self._forget_lost()
            for sender in self._live():
                for receiver in self._live():
                    lost = self._rng.random() < self._scenario.share_loss
                    if sender != receiver and not lost:
                        self._admissions[receiver].receive_served_totals(
                            str(sender),
                            "",
                            self._admissions[sender].served_totals(),
                        )


def run(scenario: Scenario, seed: int) -> Result:
    """Runs a scenario in simulated time."""

    async def start() -> Result:
        return await _Run(scenario, random.Random(seed)).run()

    return run_simulated(start())


def worst_share(scenario: Scenario, result: Result) -> float:
    """Returns the smallest share of its entitlement that an account got."""
    entitled = entitlements(scenario, result.offered_by_account)
    return min(
        result.tokens_by_account[name] / tokens
        for name, tokens in entitled.items()
    )


def small_waits(result: Result) -> list[float]:
    """Returns the waits of the accounts that ask for little."""
    return [
        wait
        for name, waits in result.waits_by_account.items()
        if name.startswith("small")
        for wait in waits
    ] or [math.inf]


def goodput(result: Result) -> float:
    """Returns the share of the capacity that went into answers in time."""
    served = result.tokens_by_account.total()
    return served / (CAPACITY * (DURATION_S - WARM_UP_S))


def figures(seed: int) -> Iterator[Figure]:
    """Yields the figures of admission."""
    one = Scenario(accounts())
    fair, first = run(one, seed), run(one._replace(fair=False), seed)
    yield Figure(
        "worst-served account, share of entitlement, one entry",
        "ratio",
        worst_share(one, fair),
        worst_share(one, first),
        0.9,
        True,
        seed,
    )
    for percent, target in ((50, 0.25), (99, 1.0)):
        yield Figure(
            f"wait of accounts within their entitlement, p{percent}",
            "s",
            percentile(small_waits(fair), percent),
            percentile(small_waits(first), percent),
            target,
            False,
            seed,
        )
    tight = one._replace(deadline_s=1.0)
    yield Figure(
        "goodput at four times the capacity, deadline 1 s",
        "share of capacity",
        goodput(run(tight, seed)),
        goodput(run(tight._replace(fair=False), seed)),
        0.9,
        True,
        seed,
    )
    spread = Scenario(accounts((0,), (0, 1, 2), (2,), (1, 2)), entries=3)
    spread = spread._replace(
        accounts=(
            *spread.accounts[:-1],
            spread.accounts[-1]._replace(entries=(0, 1, 2)),
        )
    )
    alone = run(spread._replace(share_loss=1.0), seed)
    for name, scenario in (
        ("three entries", spread),
        ("three entries, 30% of Share lost", spread._replace(share_loss=0.3)),
        ("three entries, one lost at 20 s", spread._replace(lost_entry_at=20)),
    ):
        yield Figure(
            f"worst-served account, share of entitlement, {name}",
            "ratio",
            worst_share(scenario, run(scenario, seed)),
            worst_share(spread, alone),
            0.9,
            True,
            seed,
        )
