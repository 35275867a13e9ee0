"""Makes a checked catalog from TOML files."""

from collections.abc import Iterable

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.checks import check_set
from shallotstand.objects.records import Records, read_files
from shallotstand.objects.tables import KINDS_BY_NAME
from shallotstand.objects.types import Catalog


def load_catalog(paths: Iterable[str], revision: int = 0) -> Catalog | Failure:
    """Reads and checks a whole set of objects.

    Args:
      paths: TOML files or directories of them.
      revision: Revision that the catalog gets.

    Errors:
      SET_INVALID: With a detail for every error of the set.
    """
    return make_catalog(read_files(paths), revision)


def make_catalog(records: Records, revision: int = 0) -> Catalog | Failure:
    """Checks records and makes a catalog of them.

    Errors:
      SET_INVALID: With a detail for every error of the set.
    """
    errors = check_set(records)
    if errors:
        return Failure(
            ResultCode.SET_INVALID, f"{len(errors)} error(s).", errors
        )
    objects_by_field = {
        kind.field: {
            record.name: kind.type.from_config(record.config)
            for record in records.of_kind(kind.name)
        }
        for kind in KINDS_BY_NAME.values()
    }
    return Catalog(revision=revision, **objects_by_field)
