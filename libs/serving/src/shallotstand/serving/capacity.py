"""Divides a service's slots among the entries."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple


class AccountDemand(NamedTuple):
    """Requests of one client account at one entry.

    Attributes:
      account: Name of the client account.
      weight: Share weight of the account.
      running: Number of its requests in progress.
      waiting: Number of its requests in the queue.
    """

    account: str
    weight: float
    running: int
    waiting: int


def slots_for_entry(
    slots: int,
    own: Sequence[AccountDemand],
    others: Sequence[Sequence[AccountDemand]],
) -> int:
    """Returns the number of slots that this entry may fill.

    Accounts without waiting requests keep the slots they use. The remaining
    slots are divided by the weights of the accounts with waiting requests; the
    weight of an account that waits at several entries is split evenly among
    them. Dividing the slots equally among the entries instead would give too
    little to an account that calls one entry only, and too much to an account
    that floods another entry.

    An entry may also fill every slot that the others leave free, so the share
    of a lost entry goes to the remaining ones.

    Args:
      slots: Slots of all live endpoints.
      own: Accounts with requests at this entry.
      others: Accounts with requests at each other live entry.
    """
    if not any(others):
        return slots
    entries = [own, *others]
    entry_count_by_account = Counter(
        d.account for e in entries for d in e if d.waiting
    )
    weight_by_account = {
        d.account: d.weight for e in entries for d in e if d.waiting
    }
    divisible = max(0, slots - sum(map(_slots_without_queue, entries)))
    own_weight = sum(
        d.weight / entry_count_by_account[d.account] for d in own if d.waiting
    )
    share = _slots_without_queue(own) + divisible * own_weight / (
        sum(weight_by_account.values()) or 1.0
    )
    unused = slots - sum(d.running for e in others for d in e)
    # At least one slot: a wrong or stale report of another entry must not stop
    # this entry from serving.
    return max(math.ceil(share), unused, min(1, slots))


def _slots_without_queue(demands: Sequence[AccountDemand]) -> int:
    """Returns the slots in use by accounts without waiting requests."""
    return sum(demand.running for demand in demands if not demand.waiting)
