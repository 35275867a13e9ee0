"""Age of samples in weight versions."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.types import Catalog
from shallotstand.rollout.samples import VersionSpan


class ModelVersions(NamedTuple):
    """Weight versions of one model.

    Attributes:
      number_by_name: Numbers of the versions that are configured.
      newest: Highest number that any engine has had in force; never falls.
    """

    number_by_name: Mapping[str, int]
    newest: int = 0

    @classmethod
    def from_config(
        cls, catalog: Catalog, model: str, newest: int = 0
    ) -> "ModelVersions":
        """Takes the versions of a model from the configuration."""
        return cls(
            {
                version.name: version.number
                for version in catalog.versions_by_name.values()
                if version.model == model
            },
            newest,
        )

    def see(self, names: Iterable[str]) -> "ModelVersions":
        """Takes in the versions that engines report to be in force."""
        numbers = (self.number_by_name.get(name, 0) for name in names)
        return self._replace(newest=max((self.newest, *numbers)))

    def check(self, spans: Iterable[VersionSpan], bound: int) -> Failure | None:
        """Checks that a sample may be delivered or continued now.

        Args:
          spans: Weight versions of the sample.
          bound: Most versions that it may lie behind.

        Errors:
          VERSION_UNKNOWN: A span names no configured version, or there is
            none; the sample's age can't be told.
          SAMPLE_STALE: The oldest span is more than `bound` behind.
        """
        numbers = [self.number_by_name.get(span.version) for span in spans]
        if not numbers or None in numbers:
            return Failure(
                ResultCode.VERSION_UNKNOWN, "A span has no known version."
            )
        # A sample can be the first to show that a version is in force.
        behind = max(self.newest, *numbers) - min(numbers)
        if behind > bound:
            return Failure(
                ResultCode.SAMPLE_STALE, f"{behind} versions behind."
            )
        return None

    def may_start(self, version: str, bound: int) -> bool:
        """Says whether an engine with this version may generate now."""
        return self.check((VersionSpan(version, 0),), bound) is None
