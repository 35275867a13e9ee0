"""Records of streams whose origin does not follow from a plan."""

import asyncio
from typing import Any, NamedTuple, TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.stream_origins import StreamOrigin
from shallotstand.dispatch.stream_plan import CONTINUATION_WINDOW_S
from shallotstand.documents.protocols import Document, DocumentStore
from shallotstand.documents.single_writer_document import SingleWriterDocument

ORIGINS_KIND = "stream-origins"
# Streams that begin within this time are recorded by one call.
WRITE_DELAY_S = 0.02
# Records of one process; a document holds 1 MiB.
MAX_RECORDS = 6000


class OriginRecord(TypedDict):
    """Stored form of a stream's origin; `at` is a Unix time in seconds."""

    service: str
    software_version: str
    at: float


class _ReadRecords(NamedTuple):
    origin_by_stream: dict[str, StreamOrigin]
    read_at: float


class OriginRecords:
    """Writes the records of this process, and reads those of all."""

    def __init__(self, store: DocumentStore, instance: str, clock: Clock):
        self._store = store
        self._instance = instance
        self._clock = clock
        self._document = SingleWriterDocument(store, ORIGINS_KIND, instance)
        self._own_by_stream: dict[str, OriginRecord] | None = None
        self._write_lock = asyncio.Lock()
        self._next_write: asyncio.Task[Failure | None] | None = None
        self._read_lock = asyncio.Lock()
        self._read = _ReadRecords({}, float("-inf"))

    async def add(self, stream_id: str, record: OriginRecord) -> Failure | None:
        """Writes a record, together with others that come at the same time.

        Errors:
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN, VERSION_CONFLICT: Not written.
          VALUE_TOO_LARGE: There are too many records.
        """
        failure = await self._load_own()
        if failure is not None:
            return failure
        if len(self._own_by_stream) >= MAX_RECORDS:
            return Failure(
                ResultCode.VALUE_TOO_LARGE, "Too many streams are recorded."
            )
        self._own_by_stream[stream_id] = record
        if self._next_write is None:
            self._next_write = asyncio.create_task(self._write())
        # Another caller may wait for the same write.
        return await asyncio.shield(self._next_write)

    async def read_all(self) -> dict[str, StreamOrigin] | Failure:
        """Returns the recorded origins of all processes, by stream.

        Calls at the same time share a read that began after all of them.
        """
        called_at = self._clock.monotonic()
        async with self._read_lock:
            if self._read.read_at >= called_at:
                return self._read.origin_by_stream
            read_at = self._clock.monotonic()
            listing = await self._store.list(ORIGINS_KIND)
            if isinstance(listing, Failure):
                return listing
            self._read = _ReadRecords(
                {
                    stream_id: StreamOrigin(
                        record["service"], record["software_version"]
                    )
                    for document in listing.documents
                    for stream_id, record in _parse(document).items()
                },
                read_at,
            )
            return self._read.origin_by_stream

    async def _load_own(self) -> Failure | None:
        """Reads the records of earlier processes of this instance."""
        async with self._write_lock:
            if self._own_by_stream is not None:
                return None
            document = await self._store.get(ORIGINS_KIND, self._instance)
            if isinstance(document, Failure):
                if document.code != ResultCode.OBJECT_NOT_FOUND:
                    return document
                self._own_by_stream = {}
            else:
                self._own_by_stream = _parse(document)
            return None

    async def _write(self) -> Failure | None:
        await asyncio.sleep(WRITE_DELAY_S)
        async with self._write_lock:
            self._next_write = None
            oldest = self._clock.wall() - CONTINUATION_WINDOW_S
            self._own_by_stream = {
                stream_id: record
                for stream_id, record in self._own_by_stream.items()
                if record["at"] >= oldest
            }
            failure = await self._document.write(dict(self._own_by_stream))
            if failure is not None and (
                failure.code == ResultCode.VERSION_CONFLICT
            ):
                # An earlier process of the instance has written the document.
                failure = await self._document.write(dict(self._own_by_stream))
            return failure


def _parse(document: Document) -> dict[str, OriginRecord]:
    """Returns the records in a document without those that can't be read."""
    spec: Any = document.spec if isinstance(document.spec, dict) else {}
    records_by_stream = {
        stream_id: record
        for stream_id, record in spec.items()
        if _is_record(record)
    }
    if len(records_by_stream) < len(spec) or spec is not document.spec:
        logs.event(
            logging.ERROR,
            "Stream records can't be read",
            name=document.name,
            revision=document.revision,
            readable=len(records_by_stream),
        )
    return records_by_stream


def _is_record(record: Any) -> bool:
    return (
        isinstance(record, dict)
        and isinstance(record.get("service"), str)
        and isinstance(record.get("software_version"), str)
        and isinstance(record.get("at"), int | float)
    )
