"""Checks, compares and publishes sets of objects; independent of HTTP."""

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

from shallotstand.control.config_store import (
    Head,
    read_catalog,
    read_changed_names,
    read_head,
)
from shallotstand.control.publication import RevisionConfirmations, publish
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure
from shallotstand.objects.delta import Delta, render_diff
from shallotstand.objects.encoding import catalog_digest
from shallotstand.objects.loader import make_catalog
from shallotstand.objects.records import SetFile, read_texts
from shallotstand.objects.types import Catalog
from shallotstand.platform.conditional import Backoff
from shallotstand.platform.protocols import ObjectStore

# Longest time until a change is in force everywhere, at the largest planned
# size of a deployment.
CONFIRM_TIMEOUT_S = 12.0
# An operator waits for the answer, so there are fewer attempts than usual.
OPERATOR_BACKOFF = Backoff(attempts=3)


class PublishContext(NamedTuple):
    """Store, confirmations and time limit for publications.

    Attributes:
      store: The platform's object API.
      confirmations: Revisions that the entries use.
      confirm_timeout_s: Seconds to wait until a majority of the entries uses a
        revision.
    """

    store: ObjectStore
    confirmations: RevisionConfirmations
    confirm_timeout_s: float = CONFIRM_TIMEOUT_S


class CheckResponse(TypedDict):
    """Number of objects of each kind in a set that passed the check."""

    objects: dict[str, int]


class DiffResponse(TypedDict):
    """Differences between the published set and an operator's set."""

    base: int
    names: list[str]
    text: str


class PublishResponse(TypedDict):
    """A publication that is in force at a majority of the entries."""

    revision: int
    digest: str
    names: list[str]
    confirmed_by: list[str]


def check_set(files: Sequence[SetFile]) -> CheckResponse | Failure:
    """Checks a set of objects.

    Errors:
      SET_INVALID: The set has errors; the details list all of them.
    """
    catalog = make_catalog(read_texts(files))
    if isinstance(catalog, Failure):
        return catalog
    return CheckResponse(
        objects={
            field.removesuffix("_by_name"): len(objects)
            for field, objects in catalog._asdict().items()
            if field != "revision"
        }
    )


async def read_published(
    store: ObjectStore,
) -> tuple[Head, Catalog] | Failure:
    """Reads the published head and its catalog from the store.

    Errors:
      STORE_UNAVAILABLE, OBJECT_NOT_FOUND, DIGEST_MISMATCH: The configuration
        can't be read.
    """
    head = await read_head(store, OPERATOR_BACKOFF)
    if isinstance(head, Failure):
        return head
    catalog = await read_catalog(store, head, Catalog.empty(), OPERATOR_BACKOFF)
    return catalog if isinstance(catalog, Failure) else (head, catalog)


async def diff_set(
    context: PublishContext, files: Sequence[SetFile]
) -> DiffResponse | Failure:
    """Compares a set with the published set.

    Errors:
      SET_INVALID: The set has errors; the details list all of them.
      STORE_UNAVAILABLE: The published set can't be read.
    """
    published = await read_published(context.store)
    if isinstance(published, Failure):
        return published
    _, current = published
    target = _make_target_catalog(files, current)
    if isinstance(target, Failure):
        return target
    return DiffResponse(
        base=current.revision,
        names=list(Delta.between(current, target).names),
        text=render_diff(current, target),
    )


async def publish_set(
    context: PublishContext, files: Sequence[SetFile], base: int
) -> PublishResponse | Failure:
    """Publishes a set and waits until a majority of entries uses it.

    Errors:
      SET_INVALID: The set has errors, all listed in the details; nothing was
        published.
      PUBLISH_CONFLICT: A revision other than the base is published; the
        details name the objects that were changed since the base.
      PUBLISH_UNCONFIRMED: The set is published, but no majority confirmed it in
        time.
      STORE_UNAVAILABLE: The store did not answer; nothing was published.
      OUTCOME_UNKNOWN: The set may or may not be published; publish it on the
        same base again.
    """
    checked = check_set(files)
    if isinstance(checked, Failure):
        return checked
    published = await read_published(context.store)
    if isinstance(published, Failure):
        return published
    head, current = published
    target = _make_target_catalog(files, current)
    if isinstance(target, Failure):
        return target
    if catalog_digest(target) == head.digest:
        # The set is already published, as when it is sent again after an
        # unknown outcome.
        return await _wait_for_majority(context, current, ())
    if head.revision != base:
        return await _make_conflict_failure(context.store, head, base)
    return await publish_catalog(context, current, target)


async def publish_catalog(
    context: PublishContext, current: Catalog, target: Catalog
) -> PublishResponse | Failure:
    """Publishes a checked catalog; errors as for `publish_set`."""
    publication = await publish(
        context.store, current, target, OPERATOR_BACKOFF
    )
    if isinstance(publication, Failure):
        return publication
    return await _wait_for_majority(
        context, publication, Delta.between(current, target).names
    )


async def _wait_for_majority(
    context: PublishContext, catalog: Catalog, names: Sequence[str]
) -> PublishResponse | Failure:
    confirmed = await context.confirmations.wait_for_majority(
        catalog.revision, context.confirm_timeout_s
    )
    if isinstance(confirmed, Failure):
        return confirmed
    return PublishResponse(
        revision=catalog.revision,
        digest=catalog_digest(catalog),
        names=list(names),
        confirmed_by=sorted(confirmed),
    )


async def _make_conflict_failure(
    store: ObjectStore, head: Head, base: int
) -> Failure:
    code = ResultCode.PUBLISH_CONFLICT
    names = await read_changed_names(store, head, base, OPERATOR_BACKOFF)
    if isinstance(names, Failure):
        names = ()
    return Failure(
        code,
        f"Revision {head.revision} is published; this set is based on {base}.",
        tuple(
            ErrorDetail(code, name, "was changed by another operator")
            for name in names
        ),
    )


def _make_target_catalog(
    files: Sequence[SetFile], current: Catalog
) -> Catalog | Failure:
    """Returns the catalog of a set.

    If the files have no key at all, the published keys of the remaining
    accounts are kept, since granted keys are not in the operators' files.
    """
    target = make_catalog(read_texts(files))
    if isinstance(target, Failure) or target.keys_by_name:
        return target
    kept_keys = {
        name: key
        for name, key in current.keys_by_name.items()
        if key.account in target.accounts_by_name
    }
    return target._replace(keys_by_name=kept_keys)
