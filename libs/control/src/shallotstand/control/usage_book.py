"""Content of a usage shard's checkpoint, and the counting of records in it."""

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from shallotstand.link.messages import UsageRecord

# Sources without records for this many windows are removed; copies of their
# records are kept no longer than that.
FORGET_WINDOWS = 12


class SourceState(TypedDict):
    """Which records of a source have been counted.

    A source is the sequence of records of one sidecar incarnation for one
    shard.

    Attributes:
      number: All records up to this number are counted.
      beyond: Counted numbers above `number`, ascending.
      touched: Window in which a record was last counted, seconds since 1970.
    """

    number: int
    beyond: list[int]
    touched: int


class Figures(NamedTuple):
    """Usage of an account.

    Attributes:
      requests: Number of requests.
      prompt_tokens: Number of tokens in prompts.
      completion_tokens: Number of generated tokens.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def plus(self, other: "Figures") -> "Figures":
        """Returns the sum of both figures, field by field."""
        return Figures(*(a + b for a, b in zip(self, other, strict=True)))


class UsageCheckpoint(TypedDict):
    """Content of a checkpoint.

    Attributes:
      window: Start of the window, seconds since 1970.
      epoch: Epoch of the holder that wrote the checkpoint.
      is_closed: Whether the figures are final.
      is_reported: Whether every report of the window was accepted.
      lost: Number of records of removed sources that never arrived.
      sources: State by source.
      figures: Figures of this window by account and by the start of the
        window that the records belong to (as text, for JSON).
      early: Figures counted for the next window, in the same form.
    """

    window: int
    epoch: int
    is_closed: bool
    is_reported: bool
    lost: int
    sources: dict[str, SourceState]
    figures: dict[str, dict[str, list[int]]]
    early: dict[str, dict[str, list[int]]]


def new_checkpoint(window: int, epoch: int) -> UsageCheckpoint:
    """Returns the first checkpoint of a shard."""
    return UsageCheckpoint(
        window=window,
        epoch=epoch,
        is_closed=False,
        is_reported=False,
        lost=0,
        sources={},
        figures={},
        early={},
    )


def next_checkpoint(
    checkpoint: UsageCheckpoint, window_s: int, epoch: int
) -> UsageCheckpoint:
    """Returns the checkpoint of the window after a closed window.

    All but the epoch depends on the closed checkpoint alone, so two holders
    that both open the next window start from the same content.
    """
    oldest = checkpoint["window"] - FORGET_WINDOWS * window_s
    kept_sources = {
        source: state
        for source, state in checkpoint["sources"].items()
        if state["touched"] >= oldest
    }
    forgotten = (
        state
        for source, state in checkpoint["sources"].items()
        if source not in kept_sources
    )
    opened_checkpoint = new_checkpoint(checkpoint["window"] + window_s, epoch)
    opened_checkpoint["sources"] = kept_sources
    opened_checkpoint["figures"] = checkpoint["early"]
    opened_checkpoint["lost"] = checkpoint["lost"] + sum(
        map(count_missing, forgotten)
    )
    return opened_checkpoint


def count_missing(state: SourceState) -> int:
    """Returns the number of records missing below the highest number."""
    if not state["beyond"]:
        return 0
    return state["beyond"][-1] - state["number"] - len(state["beyond"])


def count_records(
    checkpoint: UsageCheckpoint, source: str, records: Iterable[UsageRecord]
) -> bool:
    """Adds the records that are not counted yet to the checkpoint.

    Returns:
      Whether any record was added.
    """
    state = checkpoint["sources"].setdefault(
        source, SourceState(number=0, beyond=[], touched=checkpoint["window"])
    )
    is_changed = False
    for record in records:
        if _mark_counted(state, record.number):
            _add_usage(checkpoint, record)
            state["touched"] = checkpoint["window"]
            is_changed = True
    return is_changed


def _mark_counted(state: SourceState, number: int) -> bool:
    """Marks a record as counted; False if the record was marked before.

    Copies of a lost sidecar's records arrive from several entries in any
    order, so comparing with the highest number alone would drop records.
    """
    if number <= state["number"] or number in state["beyond"]:
        return False
    state["beyond"] = sorted((*state["beyond"], number))
    while state["beyond"] and state["beyond"][0] == state["number"] + 1:
        state["number"] = state["beyond"].pop(0)
    return True


def _add_usage(checkpoint: UsageCheckpoint, record: UsageRecord) -> None:
    is_early = record.window > checkpoint["window"]
    figures = checkpoint["early"] if is_early else checkpoint["figures"]
    by_window = figures.setdefault(record.account, {})
    before = Figures(*by_window.get(str(record.window), ()))
    used = Figures(1, record.prompt_tokens, record.completion_tokens)
    by_window[str(record.window)] = list(before.plus(used))
