"""How many of a service's slots one entry may fill."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple


class Demand(NamedTuple):
    """What one client account does at one entry.

    Attributes:
      account: Name of the client account.
      weight: Its weight.
      running: Its requests in progress.
      waiting: Its requests in the queue.
    """

    account: str
    weight: float
    running: int
    waiting: int


def own_slots(
    slots: int, own: Sequence[Demand], others: Sequence[Sequence[Demand]]
) -> int:
    """Returns the slots of a service that this entry may fill.

    Accounts of which nothing waits keep the slots they use. The rest is
    divided by the weights of the accounts that wait, and an account that
    waits at several entries counts a part at each. An equal division would
    give an account that calls one entry too little and a flooding account at
    another entry the rest. An entry may always fill what the others leave
    free, so a lost entry leaves its part to the rest.

    Args:
      slots: Slots of all live endpoints.
      own: Accounts at this entry.
      others: The same for each other live entry.
    """
    if not any(others):
        return slots
    entries = [own, *others]
    places = Counter(d.account for e in entries for d in e if d.waiting)
    weights = {d.account: d.weight for e in entries for d in e if d.waiting}
    rest = max(0, slots - sum(map(_used, entries)))
    own_weight = sum(d.weight / places[d.account] for d in own if d.waiting)
    part = _used(own) + rest * own_weight / (sum(weights.values()) or 1.0)
    free = slots - sum(d.running for e in others for d in e)
    # One slot at least: a wrong or late word of another entry must not keep
    # this one from serving at all.
    return max(math.ceil(part), free, min(1, slots))


def _used(demands: Sequence[Demand]) -> int:
    """Returns the slots of accounts of which nothing waits."""
    return sum(demand.running for demand in demands if not demand.waiting)
