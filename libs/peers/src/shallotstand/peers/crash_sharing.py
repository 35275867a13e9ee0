"""Shares what gateways know of requests under which endpoints ended."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.crash_record import Crash, CrashRecord
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.documents.protocols import (
    MALFORMED_CONTENT,
    Document,
    DocumentStore,
)
from shallotstand.documents.single_writer_document import SingleWriterDocument
from shallotstand.link.gateway_messages import CrashNews, CrashReport
from shallotstand.link.link import Link
from shallotstand.link.messages import Message
from shallotstand.peers.mesh import PeerMesh

CRASHES_KIND = "request-crashes"
# How often crashes are judged anew, and written if they have changed.
REVIEW_INTERVAL_S = 0.25
# Requests with fewer crashes are not written: most of them are sound, and a
# restart of all processes costs one more crash at most.
MIN_STORED_CRASHES = 2
# Endpoints are checked from this many crashes of a request on, since each check
# costs a connection.
MIN_CHECKED_CRASHES = 2
_MAX_AGE_MS = 2**32 - 1


class CrashEntry(TypedDict):
    """Stored form of a crash; `ended_at` is a Unix time in seconds."""

    endpoint: str
    started_ms: int
    ended_at: float
    is_confirmed: bool


class CrashSharing:
    """Keeps the crash records of all gateways alike, also after restarts.

    Implements `CrashListener`.
    """

    def __init__(
        self,
        record: CrashRecord,
        endpoint_registry: EndpointRegistry,
        check_listening: Callable[[Endpoint], Awaitable[None]],
        mesh: PeerMesh,
        store: DocumentStore,
        instance: str,
        clock: Clock,
    ):
        """Connects the crash record of a process with those of its peers.

        Args:
          record: The record of this process.
          endpoint_registry: The endpoints.
          check_listening: Tells the registry if nothing listens at the address
            of an endpoint.
          mesh: Connections to the peers.
          store: The store, where crashes outlast the processes.
          instance: Name of the instance that the process runs on; the document
            written by earlier processes of the instance is reused.
          clock: Source of time.
        """
        self._record = record
        self._endpoint_registry = endpoint_registry
        self._check_listening = check_listening
        self._check_tasks: set[asyncio.Task] = set()
        self._mesh = mesh
        self._store = store
        self._clock = clock
        self._document = SingleWriterDocument(store, CRASHES_KIND, instance)
        self._own_fingerprints: set[bytes] = set()
        self._written: dict[str, list[CrashEntry]] = {}
        record.listener = self
        record.may_try = mesh.is_preferred_owner
        mesh.register_handler(CrashNews, self._receive)
        mesh.subscribe_connections(self._send_all)

    async def load(self) -> None:
        """Adds the crashes in the store to the record."""
        listing = await self._store.list(CRASHES_KIND)
        if isinstance(listing, Failure):
            logs.event(
                logging.WARNING,
                "Crashing requests can't be read from the store",
                code=int(listing.code),
                reason=listing.reason,
            )
            return
        for document in listing.documents:
            for crash in self._parse_document(document):
                self._record.add(crash)

    async def run(self) -> None:
        """Reviews the crashes and writes their changes until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            self._tell_of_refused_connections(self._record.review())
            entries = self._entries()
            if _state_of(entries) == _state_of(self._written):
                continue
            failure = await self._document.write(entries)
            if failure is None:
                self._written = entries
            else:
                logs.event(
                    logging.INFO,
                    "Crashing requests wait for the store",
                    code=int(failure.code),
                    reason=failure.reason,
                )

    def record_crash(self, crash: Crash) -> None:
        """Tells the peers that a request of this process was cut off."""
        self._own_fingerprints.add(crash.fingerprint)
        if self._record.crash_count(crash.fingerprint) >= MIN_CHECKED_CRASHES:
            self._check_endpoints(crash.fingerprint)
        self._mesh.broadcast(CrashNews(reports=(self._make_report(crash),)))

    def _check_endpoints(self, fingerprint: bytes) -> None:
        """Checks whether the endpoints that a request may have ended listen.

        They may be back before the registry shows that they were away.
        """
        for crash in self._record.crashes((fingerprint,)):
            if crash.is_confirmed or not self._is_listed(crash):
                continue
            endpoint = self._endpoint_registry.by_id[crash.endpoint_id]
            task = asyncio.create_task(self._check_listening(endpoint))
            self._check_tasks.add(task)
            task.add_done_callback(self._check_tasks.discard)

    def record_cleared(self, fingerprint: bytes) -> None:
        """Tells the peers that a suspected request had a response."""
        self._mesh.broadcast(CrashNews(cleared=(fingerprint,)))

    def _tell_of_refused_connections(self, confirmed: list[Crash]) -> None:
        """Tells of ends that the peers can't see in the registry themselves."""
        reports = tuple(
            self._make_report(crash)
            for crash in confirmed
            if self._is_listed(crash)
        )
        if reports:
            self._mesh.broadcast(CrashNews(reports))

    def _is_listed(self, crash: Crash) -> bool:
        endpoint = self._endpoint_registry.by_id.get(crash.endpoint_id)
        return endpoint is not None and endpoint.started_ms == crash.started_ms

    def _receive(self, message: Message, _: Link) -> None:
        now = self._clock.monotonic()
        for report in message.reports:
            self._record.add(
                Crash(
                    report.fingerprint,
                    report.endpoint,
                    report.started_ms,
                    now - report.age_ms / 1000,
                    report.is_confirmed,
                )
            )
        for fingerprint in message.cleared:
            self._record.clear(fingerprint)

    def _send_all(self, link: Link) -> None:
        crashes = self._record.crashes()
        if crashes:
            link.send(CrashNews(tuple(map(self._make_report, crashes))))

    def _make_report(self, crash: Crash) -> CrashReport:
        age_ms = int((self._clock.monotonic() - crash.at) * 1000)
        return CrashReport(
            crash.fingerprint,
            crash.endpoint_id,
            crash.started_ms,
            min(_MAX_AGE_MS, max(0, age_ms)),
            crash.is_confirmed,
        )

    def _entries(self) -> dict[str, list[CrashEntry]]:
        """Returns the crashes that this process has to keep in the store."""
        unix_offset_s = self._clock.wall() - self._clock.monotonic()
        self._own_fingerprints = {
            fingerprint
            for fingerprint in self._own_fingerprints
            if self._record.crash_count(fingerprint)
        }
        return {
            fingerprint.hex(): [
                CrashEntry(
                    endpoint=crash.endpoint_id,
                    started_ms=crash.started_ms,
                    ended_at=crash.at + unix_offset_s,
                    is_confirmed=crash.is_confirmed,
                )
                for crash in self._record.crashes((fingerprint,))
            ]
            for fingerprint in self._own_fingerprints
            if self._record.crash_count(fingerprint) >= MIN_STORED_CRASHES
        }

    def _parse_document(self, document: Document) -> list[Crash]:
        """Returns the crashes in a document; none if it can't be read."""
        now = self._clock.monotonic()
        unix_offset_s = self._clock.wall() - now
        try:
            return [
                Crash(
                    bytes.fromhex(name),
                    str(entry["endpoint"]),
                    int(entry["started_ms"]),
                    min(now, entry["ended_at"] - unix_offset_s),
                    bool(entry["is_confirmed"]),
                )
                for name, entries in document.spec.items()
                for entry in entries
            ]
        except MALFORMED_CONTENT as error:
            logs.event(
                logging.ERROR,
                "Crashing requests can't be read",
                name=document.name,
                revision=document.revision,
                error=repr(error),
            )
            return []


def _state_of(
    entries: dict[str, list[CrashEntry]],
) -> dict[str, list[tuple[str, bool]]]:
    """Returns what has to be written if it changes."""
    return {
        name: [(entry["endpoint"], entry["is_confirmed"]) for entry in crashes]
        for name, crashes in entries.items()
    }
