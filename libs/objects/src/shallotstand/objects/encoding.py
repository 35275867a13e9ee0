"""The canonical encoding of a catalog, its digest and its snapshot parts."""

import hashlib
from collections.abc import Iterable
from typing import Any

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.tables import KINDS_BY_NAME
from shallotstand.objects.types import Catalog

# Under the store's limit of 1 MB for a value.
SNAPSHOT_PART_BYTES = 900_000
_DIGEST_BYTES = 32
_PERSON = b"shallotstand-cfg"


def to_plain(item: Any) -> Any:
    """Returns nested NamedTuples as dicts that orjson can encode.

    Whole numbers in fields declared as float become fractions: 1 and 1.0 are
    equal but encode differently, and readers always make the latter.
    """
    if hasattr(item, "_asdict"):
        types_by_field = type(item).__annotations__
        return {
            name: float(value)
            if types_by_field[name] is float
            else to_plain(value)
            for name, value in item._asdict().items()
        }
    if isinstance(item, tuple):
        return [to_plain(value) for value in item]
    return item


def encode_json(value: Any) -> bytes:
    """Returns JSON with sorted keys: the same bytes for the same value."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def encode_catalog(catalog: Catalog) -> bytes:
    """Returns the canonical encoding of the objects, without the revision."""
    return encode_json(
        {
            kind.name: {
                name: to_plain(item)
                for name, item in kind.objects(catalog).items()
            }
            for kind in KINDS_BY_NAME.values()
        }
    )


def decode_catalog(content: bytes, revision: int) -> Catalog | Failure:
    """Returns the catalog of an encoding.

    Errors:
      DIGEST_MISMATCH: The content is not the encoding of a catalog.
    """
    try:
        plain = orjson.loads(content)
        return Catalog(
            revision=revision,
            **{
                kind.field: {
                    name: kind.type.from_config(config)
                    for name, config in plain[kind.name].items()
                }
                for kind in KINDS_BY_NAME.values()
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(ResultCode.DIGEST_MISMATCH, f"Not a catalog: {error!r}.")


def digest_of(content: bytes) -> str:
    """Returns the digest of an encoded catalog, 64 hexadecimal digits."""
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES, person=_PERSON)
    return digest.hexdigest()


def catalog_digest(catalog: Catalog) -> str:
    """Returns the digest of a catalog's objects."""
    return digest_of(encode_catalog(catalog))


def split_snapshot(content: bytes) -> list[bytes]:
    """Returns the content in parts of at most SNAPSHOT_PART_BYTES."""
    return [
        content[start : start + SNAPSHOT_PART_BYTES]
        for start in range(0, len(content), SNAPSHOT_PART_BYTES)
    ]


def join_snapshot(
    parts: Iterable[bytes], revision: int, digest: str
) -> Catalog | Failure:
    """Returns the catalog of a snapshot's parts.

    Errors:
      DIGEST_MISMATCH: The parts do not make up the content of the digest.
    """
    content = b"".join(parts)
    if digest_of(content) != digest:
        return Failure(
            ResultCode.DIGEST_MISMATCH, f"Snapshot of revision {revision}."
        )
    return decode_catalog(content, revision)
