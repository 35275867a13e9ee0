"""Grants, withdraws and lists callers' keys; independent of HTTP."""

import asyncio
import secrets
from typing import TypedDict

from shallotstand.configsync.sync import ConfigSync
from shallotstand.control.adoption import ConfigKeeper
from shallotstand.controller.admin_sets import (
    PublishContext,
    PublishResponse,
    publish_catalog,
    read_published,
)
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.keys import hash_key
from shallotstand.objects.types import Catalog, Key

_SECRET_BYTES = 32
# Without an answer from the store in this time, the key is withdrawn directly
# at the peers, so that it stops working well within 5 s of the operator's call.
STORE_TIMEOUT_S = 1.0
_SHOWN_HASH_CHARS = 12
# A withdrawal is independent of concurrent changes, so it is repeated on a
# conflict.
_MAX_CONFLICT_ATTEMPTS = 4
_STORE_CODES = (ResultCode.STORE_UNAVAILABLE, ResultCode.OUTCOME_UNKNOWN)


class GrantResponse(TypedDict):
    """A new key and its secret, which is not stored anywhere."""

    name: str
    account: str
    secret: str
    publication: PublishResponse


class WithdrawResponse(TypedDict):
    """A withdrawn key.

    Attributes:
      name: Name of the key.
      path: `published`, or `emergency` if the store did not answer and the key
        was withdrawn directly at the peers.
      revision: Revision without the key; 0 if the path is `emergency`.
    """

    name: str
    path: str
    revision: int


class KeyRow(TypedDict):
    """A row in the list of keys, with the first characters of the hash."""

    name: str
    account: str
    hash_start: str
    withdrawn: bool


class KeyManager:
    """Manages the keys of the configuration in force."""

    def __init__(
        self,
        context: PublishContext,
        config_keeper: ConfigKeeper,
        sync: ConfigSync,
    ):
        self._context = context
        self._config_keeper = config_keeper
        self._sync = sync

    async def grant(self, name: str, account: str) -> GrantResponse | Failure:
        """Publishes a new key; only its hash is stored.

        Errors:
          OBJECT_DUPLICATE: A key of this name exists.
          OBJECT_REFERENCE: The client account does not exist.
          Others: Those of `publish_catalog`. After PUBLISH_UNCONFIRMED and
            OUTCOME_UNKNOWN the secret is lost: withdraw the key and grant
            another.
        """
        published = await read_published(self._context.store)
        if isinstance(published, Failure):
            return published
        _, current = published
        failure = _check_new_key(current, name, account)
        if failure is not None:
            return failure
        secret = secrets.token_urlsafe(_SECRET_BYTES)
        key = Key(name, account, hash_key(secret))
        target = current._replace(
            keys_by_name=current.keys_by_name | {name: key}
        )
        publication = await publish_catalog(self._context, current, target)
        if isinstance(publication, Failure):
            return publication
        return GrantResponse(
            name=name, account=account, secret=secret, publication=publication
        )

    async def withdraw(self, name: str) -> WithdrawResponse | Failure:
        """Withdraws a key, without the store if the store does not answer.

        Errors:
          OBJECT_NOT_FOUND: The key does not exist.
          PUBLISH_UNCONFIRMED: The withdrawal is published, but some entries may
            not have it yet.
          PUBLISH_CONFLICT: Another publication came first at each attempt; try
            again.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                published = await self._publish_removal(name)
        except TimeoutError:
            return self._withdraw_without_store(name)
        if not isinstance(published, Failure):
            return await self._wait_for_majority(name, published)
        if published.code in _STORE_CODES:
            return self._withdraw_without_store(name)
        return published

    def list(self) -> list[KeyRow]:
        """Returns the keys of the configuration in force, by name."""
        return [
            KeyRow(
                name=key.name,
                account=key.account,
                hash_start=key.hash[:_SHOWN_HASH_CHARS],
                withdrawn=key.hash in self._config_keeper.withdrawn,
            )
            for _, key in sorted(
                self._config_keeper.catalog.keys_by_name.items()
            )
        ]

    async def _publish_removal(self, name: str) -> int | Failure:
        """Publishes a catalog without the key.

        Returns:
          Number of a revision without the key.
        """
        failure: Failure | None = None
        for _ in range(_MAX_CONFLICT_ATTEMPTS):
            published = await read_published(self._context.store)
            if isinstance(published, Failure):
                return published
            _, current = published
            if name not in current.keys_by_name:
                return _key_not_found(name)
            keys = {k: v for k, v in current.keys_by_name.items() if k != name}
            target = current._replace(keys_by_name=keys)
            # This call does not wait for the entries, as its time limit is for
            # the store alone.
            publication = await publish_catalog(
                self._context._replace(confirm_timeout_s=0), current, target
            )
            if not isinstance(publication, Failure):
                return publication["revision"]
            if publication.code == ResultCode.PUBLISH_UNCONFIRMED:
                return current.revision + 1
            if publication.code != ResultCode.PUBLISH_CONFLICT:
                return publication
            failure = publication
        return failure

    async def _wait_for_majority(
        self, name: str, revision: int
    ) -> WithdrawResponse | Failure:
        confirmed = await self._context.confirmations.wait_for_majority(
            revision, self._context.confirm_timeout_s
        )
        if isinstance(confirmed, Failure):
            return confirmed
        return WithdrawResponse(name=name, path="published", revision=revision)

    def _withdraw_without_store(self, name: str) -> WithdrawResponse | Failure:
        key = self._config_keeper.catalog.keys_by_name.get(name)
        if key is None:
            return _key_not_found(name)
        self._sync.withdraw_keys([key.hash])
        return WithdrawResponse(name=name, path="emergency", revision=0)


def _check_new_key(current: Catalog, name: str, account: str) -> Failure | None:
    if name in current.keys_by_name:
        return Failure(
            ResultCode.OBJECT_DUPLICATE, f"A key named {name} already exists."
        )
    if account not in current.accounts_by_name:
        return Failure(
            ResultCode.OBJECT_REFERENCE,
            f"No client account is named {account}.",
        )
    return None


def _key_not_found(name: str) -> Failure:
    return Failure(ResultCode.OBJECT_NOT_FOUND, f"No key is named {name}.")
