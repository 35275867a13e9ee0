"""Manifests, which fix the samples of sealed steps."""

import hashlib
import itertools
from collections.abc import Iterable
from typing import NamedTuple

import orjson
from shallotstand.rollout.samples import Sample, VersionSpan
from shallotstand.rollout.slots import SampleId, SampleSlot

_DIGEST_BYTES = 16


class ManifestEntry(NamedTuple):
    """Entry of a manifest for one sample.

    Attributes:
      sample_id: Identifier of the sample.
      digest: Digest of the sample's content.
      spans: Weight versions of the sample.
      score: The scorer's result, kept so that the sample is not scored twice.
    """

    sample_id: SampleId
    digest: str
    spans: tuple[VersionSpan, ...]
    score: float | None


class Manifest(NamedTuple):
    """Samples of one generation of a step.

    Attributes:
      job: Name of the job.
      step: Number of the step.
      generation: Generation of the step, from 1.
      entries: Entries of the samples, ordered by group and index.
    """

    job: str
    step: int
    generation: int
    entries: tuple[ManifestEntry, ...]

    @classmethod
    def from_samples(
        cls, job: str, step: int, generation: int, samples: Iterable[Sample]
    ) -> "Manifest":
        """Creates the manifest of samples, which must be in slot order."""
        entries = (
            ManifestEntry(s.sample_id, s.digest, s.spans, s.score)
            for s in samples
        )
        return cls(job, step, generation, tuple(entries))

    def to_bytes(self) -> bytes:
        """Encodes the manifest for the object store; about 90 bytes per sample.

        Version names are stored once in a table, as most samples share them.
        """
        names = sorted({s.version for e in self.entries for s in e.spans})
        number_by_name = {name: n for n, name in enumerate(names)}
        return orjson.dumps(
            [
                self.job,
                self.step,
                self.generation,
                names,
                [_pack(entry, number_by_name) for entry in self.entries],
            ]
        )

    @classmethod
    def from_bytes(cls, value: bytes) -> "Manifest":
        """Decodes a manifest from the object store."""
        job, step, generation, names, rows = orjson.loads(value)
        entries = (_unpack(job, step, names, row) for row in rows)
        return cls(job, step, generation, tuple(entries))

    @property
    def digest(self) -> str:
        """Hash of the manifest, 32 hexadecimal digits."""
        return hashlib.blake2b(
            self.to_bytes(), digest_size=_DIGEST_BYTES
        ).hexdigest()


def manifest_key(job: str, step: int, generation: int) -> str:
    """Returns the key of a manifest in the object store."""
    return f"step/{job}/{step}/{generation}"


def _pack(entry: ManifestEntry, number_by_name: dict[str, int]) -> list:
    slot = entry.sample_id.slot
    spans = ((number_by_name[s.version], s.tokens) for s in entry.spans)
    return [
        slot.group,
        slot.index,
        entry.sample_id.generation,
        entry.sample_id.attempt,
        entry.digest,
        entry.score,
        *itertools.chain.from_iterable(spans),
    ]


def _unpack(job: str, step: int, names: list[str], row: list) -> ManifestEntry:
    group, index, generation, attempt, digest, score, *flat = row
    pairs = zip(flat[::2], flat[1::2], strict=True)
    return ManifestEntry(
        SampleId(SampleSlot(job, step, group, index), generation, attempt),
        digest,
        tuple(VersionSpan(names[number], tokens) for number, tokens in pairs),
        score,
    )
