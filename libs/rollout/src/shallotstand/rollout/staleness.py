"""Staleness of samples, counted in weight versions."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.types import Catalog
from shallotstand.rollout.samples import VersionSpan


class ModelVersions(NamedTuple):
    """Weight versions of one model.

    Attributes:
      number_by_name: Numbers of the configured versions.
      newest: Highest version number that has been in force at any engine;
        never decreases.
    """

    number_by_name: Mapping[str, int]
    newest: int = 0

    @classmethod
    def from_config(
        cls, catalog: Catalog, model: str, newest: int = 0
    ) -> "ModelVersions":
        """Returns the versions of a model in the configuration."""
        return cls(
            {
                version.name: version.number
                for version in catalog.versions_by_name.values()
                if version.model == model
            },
            newest,
        )

    def with_reported_versions(self, names: Iterable[str]) -> "ModelVersions":
        """Returns a copy with `newest` raised to the versions in force.

        Args:
          names: Names of the versions that engines report.
        """
        numbers = (self.number_by_name.get(name, 0) for name in names)
        return self._replace(newest=max((self.newest, *numbers)))

    def check(self, spans: Iterable[VersionSpan], bound: int) -> Failure | None:
        """Checks that a sample may be delivered or continued now.

        Args:
          spans: Weight versions of the sample.
          bound: Maximum number of versions that the sample may be behind the
            newest one.

        Errors:
          VERSION_UNKNOWN: There are no spans, or a span names no configured
            version; the age of the sample can't be determined.
          SAMPLE_STALE: The oldest span is more than `bound` versions behind.
        """
        numbers = [self.number_by_name.get(span.version) for span in spans]
        if not numbers or None in numbers:
            return Failure(
                ResultCode.VERSION_UNKNOWN,
                "The sample has no span, or one with an unknown version.",
            )
        # The sample may be the first to use a version newer than `newest`.
        versions_behind = max(self.newest, *numbers) - min(numbers)
        if versions_behind > bound:
            return Failure(
                ResultCode.SAMPLE_STALE,
                f"The sample is {versions_behind} versions behind.",
            )
        return None

    def may_start(self, version: str, bound: int) -> bool:
        """Returns whether an engine with this version may generate samples."""
        return self.check((VersionSpan(version, 0),), bound) is None
