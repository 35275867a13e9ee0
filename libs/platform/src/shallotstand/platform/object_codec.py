"""Text form of objects and versions in the object API over HTTP."""

import base64

import orjson
from shallotstand.platform.protocols import StoredObject


def encode_object(stored: StoredObject) -> dict[str, object]:
    """Returns the JSON object of a stored object."""
    return {
        "key": stored.key,
        "version": stored.version,
        "value": base64.b64encode(stored.value).decode(),
    }


def decode_object(fields: dict) -> StoredObject:
    """Returns the stored object of a JSON object.

    Raises:
      ValueError, KeyError, TypeError: The JSON object is not valid.
    """
    value = base64.b64decode(fields["value"], validate=True)
    return StoredObject(str(fields["key"]), int(fields["version"]), value)


def decode_objects(body: bytes) -> list[StoredObject]:
    """Returns the stored objects of a JSON list.

    Raises:
      ValueError, KeyError, TypeError: The list is not valid.
    """
    return [decode_object(fields) for fields in orjson.loads(body)]


def to_etag(version: int) -> str:
    """Returns the entity tag of a version."""
    return f'"{version}"'


def from_etag(etag: str) -> int:
    """Returns the version of an entity tag.

    Raises:
      ValueError: The tag holds no number.
    """
    return int(etag.strip('"'))
