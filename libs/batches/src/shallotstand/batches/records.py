"""Submissions and results, and their encoding in the batch log."""

import base64
import enum
import hashlib
from typing import Any, NamedTuple

# Kind of the log entries that every process watches: `ID.0` is the submission,
# `ID.end` ends the batch.
BATCH_LOG_KIND = "batch-log"
# Kind of the other entries: `ID.1` and up contain results in the order of their
# positions. They are not watched but read on demand.
RESULTS_KIND = "batch-results"
SUBMISSION_SUFFIX = "0"
END_SUFFIX = "end"
# Below the store's limit for a value; leaves room for metadata.
MAX_ENTRY_BYTES = 900_000
_DIGEST_BYTES = 12


class ScoringRequest(NamedTuple):
    """The request that scores an item.

    Attributes:
      id: Identifier of the request.
      host: Host that selects the route.
      target: Path of the request.
      body: Content of the request.
    """

    id: str
    host: str
    target: str
    body: bytes


class Item(NamedTuple):
    """One rollout of a batch.

    Attributes:
      id: Identifier; unchanged if the item is submitted again.
      target: Path of its request.
      headers: Headers of its request.
      body: Content of its request.
      group: Group of items that share a prompt.
      model: Model that it runs on; empty for any.
      size_hint: Estimate of the tokens it generates; 0 if unknown.
      scorer: Request that scores its text; None if it is not scored.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    group: str
    model: str
    size_hint: int
    scorer: ScoringRequest | None


class Submission(NamedTuple):
    """A batch as accepted from a caller.

    Attributes:
      id: Identifier of the batch.
      account: Client account that owns it.
      host: Host that selects its route.
      route_path: Path that it was sent to; selects its route.
      min_version: Oldest version of the weights that may generate its tokens.
      target_groups: Number of groups that the trainer waits for.
      submitted_at: Unix time in seconds at which it was accepted.
      owner: Process that is to run it unless another takes it over.
      items: Its items, in the caller's order.
      config_version: Version of the configuration under which it was accepted;
        0 if a release accepted it that did not keep the version.
    """

    id: str
    account: str
    host: str
    route_path: str
    min_version: int
    target_groups: int
    submitted_at: float
    owner: str
    items: tuple[Item, ...]
    config_version: int = 0


class ResultState(enum.Enum):
    """How an item ended."""

    COMPLETED = "completed"
    LOST = "lost"


class Result(NamedTuple):
    """The result of an item.

    Attributes:
      id: Identifier of the item.
      state: How the item ended.
      text: Data of all its events, joined by line feeds.
      versions: Versions of the weights that generated the text.
      score: The scorer's signature; empty if the item was not scored.
    """

    id: str
    state: ResultState
    text: str
    versions: tuple[int, ...]
    score: str


class ResultsEntry(NamedTuple):
    """The results in one log entry.

    Attributes:
      first: Position of the first result.
      results: The results in order.
    """

    first: int
    results: tuple[Result, ...]


def text_key(account: str, item: Item) -> str:
    """Returns the key of an item's text, which only the same request shares.

    Callers choose the identifiers of items, so those of two client accounts, or
    of two requests of one account, may be equal.

    Args:
      account: Client account that owns the item's batch.
      item: The item.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (account.encode(), item.target.encode(), item.body):
        digest.update(len(part).to_bytes(8, "little") + part)
    return f"{item.id} {digest.hexdigest()}"


def entry_kind(suffix: str | int) -> str:
    """Returns the kind under which an entry is stored."""
    is_watched = suffix in (SUBMISSION_SUFFIX, END_SUFFIX)
    return BATCH_LOG_KIND if is_watched else RESULTS_KIND


def entry_name(batch_id: str, suffix: str | int) -> str:
    """Returns the name of an entry of the log."""
    return f"{batch_id}.{suffix}"


def submission_to_spec(submission: Submission) -> dict[str, Any]:
    """Encodes a submission as the content of a log entry."""
    return {
        **submission._asdict(),
        "items": [
            {
                **item._asdict(),
                "body": _encode_base64(item.body),
                "scorer": item.scorer
                and {
                    **item.scorer._asdict(),
                    "body": _encode_base64(item.scorer.body),
                },
            }
            for item in submission.items
        ],
    }


def submission_from_spec(spec: dict[str, Any]) -> Submission:
    """Decodes a submission from the content of a log entry.

    Raises:
      KeyError, TypeError, ValueError: The entry is malformed or was written
        by a release that uses different fields.
    """
    items = tuple(
        Item(
            **{
                **item,
                "headers": tuple(map(tuple, item["headers"])),
                "body": base64.b64decode(item["body"]),
                "scorer": item["scorer"]
                and _scoring_request_from_spec(item["scorer"]),
            }
        )
        for item in spec["items"]
    )
    return Submission(**{**spec, "items": items})


def results_to_spec(entry: ResultsEntry) -> dict[str, Any]:
    """Encodes results as the content of a log entry."""
    return {
        "first": entry.first,
        "results": [
            {**result._asdict(), "state": result.state.value}
            for result in entry.results
        ],
    }


def results_from_spec(spec: dict[str, Any]) -> ResultsEntry:
    """Decodes results from the content of a log entry.

    Raises:
      KeyError, TypeError, ValueError: The entry is malformed or was written
        by a release that uses different fields.
    """
    return ResultsEntry(
        spec["first"],
        tuple(
            Result(
                **{
                    **result,
                    "state": ResultState(result["state"]),
                    "versions": tuple(result["versions"]),
                }
            )
            for result in spec["results"]
        ),
    )


def _scoring_request_from_spec(spec: dict[str, Any]) -> ScoringRequest:
    return ScoringRequest(**{**spec, "body": base64.b64decode(spec["body"])})


def _encode_base64(content: bytes) -> str:
    return base64.b64encode(content).decode("ascii")
