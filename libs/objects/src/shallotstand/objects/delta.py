"""Differences between two catalogs."""

from typing import Any, NamedTuple

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.encoding import (
    catalog_digest,
    encode_json,
    to_plain,
)
from shallotstand.objects.tables import KINDS_BY_NAME
from shallotstand.objects.types import Catalog

_SHOWN_VALUE_CHARS = 60


class Delta(NamedTuple):
    """What leads from one revision to the next.

    Attributes:
      revision: Revision after the change.
      base: Revision before the change.
      base_digest: Digest of the objects before the change.
      digest: Digest of the objects after the change.
      changed: New and changed objects as plain JSON, by kind and name.
      deleted: Names of deleted objects, sorted, by kind.
    """

    revision: int
    base: int
    base_digest: str
    digest: str
    changed: dict[str, dict[str, Any]]
    deleted: dict[str, list[str]]

    @classmethod
    def between(cls, base: Catalog, target: Catalog) -> "Delta":
        """Returns the delta from a catalog to another."""
        changed = {k: _changed(k, base, target) for k in KINDS_BY_NAME}
        deleted = {k: _deleted(k, base, target) for k in KINDS_BY_NAME}
        return cls(
            target.revision,
            base.revision,
            catalog_digest(base),
            catalog_digest(target),
            {kind: items for kind, items in changed.items() if items},
            {kind: names for kind, names in deleted.items() if names},
        )

    @classmethod
    def decode(cls, content: bytes) -> "Delta | Failure":
        """Returns the delta of an encoding.

        Errors:
          DIGEST_MISMATCH: The content is not a delta.
        """
        try:
            return cls(**orjson.loads(content))
        except (ValueError, TypeError) as error:
            return Failure(ResultCode.DIGEST_MISMATCH, f"Not a delta: {error}.")

    def encode(self) -> bytes:
        """Returns the canonical encoding."""
        return encode_json(self._asdict())

    @property
    def names(self) -> tuple[str, ...]:
        """Kind and name of each object that differs, sorted."""
        return tuple(
            sorted(
                f"{kind} {name}"
                for names_by_kind in (self.changed, self.deleted)
                for kind, names in names_by_kind.items()
                for name in names
            )
        )


def apply_delta(held: Catalog, delta: Delta) -> Catalog | Failure:
    """Returns the catalog after a change.

    Errors:
      REVISION_OLDER: The delta leads to a revision that is not newer.
      REVISION_GAP: The delta starts from another revision.
      DIGEST_MISMATCH: The result is not what the publisher had.
    """
    if delta.revision <= held.revision:
        return Failure(
            ResultCode.REVISION_OLDER,
            f"Revision {delta.revision} offered, {held.revision} held.",
        )
    if delta.base != held.revision:
        return Failure(
            ResultCode.REVISION_GAP,
            f"Delta starts from {delta.base}, {held.revision} is held.",
        )
    try:
        result = _apply(held, delta)
    except (KeyError, TypeError, AttributeError) as error:
        return Failure(ResultCode.DIGEST_MISMATCH, f"Bad delta: {error!r}.")
    if catalog_digest(result) != delta.digest:
        return Failure(
            ResultCode.DIGEST_MISMATCH,
            f"Revision {delta.revision} does not match its digest.",
        )
    return result


def render_diff(base: Catalog, target: Catalog) -> str:
    """Returns one line for each difference, for operators."""
    lines = []
    for kind in KINDS_BY_NAME.values():
        before, after = kind.objects(base), kind.objects(target)
        for name in sorted(before.keys() | after.keys()):
            label = f"{kind.name} {name}"
            if name not in after:
                lines.append(f"- {label}")
            elif name not in before:
                lines.append(f"+ {label}")
            else:
                lines.extend(_changed_fields(label, before[name], after[name]))
    return "".join(f"{line}\n" for line in lines)


def _changed(kind: str, base: Catalog, target: Catalog) -> dict[str, Any]:
    before = KINDS_BY_NAME[kind].objects(base)
    after = KINDS_BY_NAME[kind].objects(target)
    return {
        name: to_plain(item)
        for name, item in after.items()
        if before.get(name) != item
    }


def _deleted(kind: str, base: Catalog, target: Catalog) -> list[str]:
    before = KINDS_BY_NAME[kind].objects(base)
    after = KINDS_BY_NAME[kind].objects(target)
    return sorted(before.keys() - after.keys())


def _apply(held: Catalog, delta: Delta) -> Catalog:
    objects_by_field = {}
    for kind in KINDS_BY_NAME.values():
        deleted = set(delta.deleted.get(kind.name, ()))
        kept = {
            name: item
            for name, item in kind.objects(held).items()
            if name not in deleted
        }
        changed = {
            name: kind.type.from_config(config)
            for name, config in delta.changed.get(kind.name, {}).items()
        }
        objects_by_field[kind.field] = kept | changed
    return Catalog(revision=delta.revision, **objects_by_field)


def _changed_fields(label: str, before: Any, after: Any) -> list[str]:
    return [
        f"~ {label}: {field} {_show(old)} -> {_show(new)}"
        for field, old, new in zip(before._fields, before, after, strict=True)
        if old != new
    ]


def _show(value: Any) -> str:
    text = orjson.dumps(to_plain(value)).decode()
    if len(text) <= _SHOWN_VALUE_CHARS:
        return text
    return text[:_SHOWN_VALUE_CHARS] + "..."
