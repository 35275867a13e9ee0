"""Checks of a whole set of objects; each check yields every error it finds.

A check sees objects with wrong fields too, whose values are None there, so
that one wrong field hides no other error.
"""

import graphlib
import itertools
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Any, NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail
from shallotstand.objects.records import Record, Records

# Paths that the entry serves itself: completions and rollout jobs.
RESERVED_PATHS = ("/v1", "/metrics")


class Reference(NamedTuple):
    """A field that names another object.

    Attributes:
      kind: Kind of the object with the field.
      field: Name of the field; an empty value refers to nothing.
      target: Kind of the object that is named.
      service_kind: Required kind of a service; empty for any.
    """

    kind: str
    field: str
    target: str
    service_kind: str = ""


REFERENCES = (
    Reference("key", "account", "client_account"),
    Reference("rollout_job", "account", "client_account"),
    Reference("rollout_job", "service", "service", "model"),
    Reference("rollout_job", "scorer", "service", "plain"),
    Reference("rollout_job", "after", "rollout_job"),
)


def check_names(records: Records) -> Iterator[ErrorDetail]:
    """Finds objects of one kind with one name."""
    return _duplicates(
        (
            ((record.kind, record.name), record.at("name"))
            for record in records.records
            if record.name is not None
        ),
        lambda key: f"{key[0]} {key[1]}",
    )


def check_key_hashes(records: Records) -> Iterator[ErrorDetail]:
    """Finds two keys with one hash."""
    return _duplicates(
        (
            (record.config["hash"], record.at("hash"))
            for record in records.of_kind("key")
            if record.config.get("hash") is not None
        ),
        lambda _: "this hash",
    )


def check_version_numbers(records: Records) -> Iterator[ErrorDetail]:
    """Finds versions of one model with one number."""
    return _duplicates(
        (
            (
                (record.config["model"], record.config["number"]),
                record.at("number"),
            )
            for record in records.of_kind("model_version")
            if None
            not in (record.config.get("model"), record.config.get("number"))
        ),
        lambda key: f"version {key[1]} of model {key[0]}",
    )


def check_endpoint_names(records: Records) -> Iterator[ErrorDetail]:
    """Finds two endpoints with one name, in any services."""
    return _duplicates(
        (
            (endpoint["name"], f"{record.at('endpoints')}[{index}].name")
            for record in records.of_kind("service")
            for index, endpoint in enumerate(
                record.config.get("endpoints") or ()
            )
            if endpoint and endpoint["name"] is not None
        ),
        lambda key: f"endpoint {key}",
    )


def check_references(records: Records) -> Iterator[ErrorDetail]:
    """Finds fields that name an object that does not exist."""
    by_kind_and_name = {(r.kind, r.name): r for r in records.records}
    for reference, record, named in _references(records):
        target = by_kind_and_name.get((reference.target, named))
        problem = _check_target(reference, target, named)
        if problem:
            path = record.at(reference.field)
            yield ErrorDetail(ResultCode.OBJECT_REFERENCE, path, problem)


def check_version_models(records: Records) -> Iterator[ErrorDetail]:
    """Finds versions of a model that no service serves."""
    models = {r.config.get("model") for r in records.of_kind("service")}
    for record in records.of_kind("model_version"):
        model = record.config.get("model")
        if model is not None and model not in models:
            yield ErrorDetail(
                ResultCode.OBJECT_REFERENCE,
                record.at("model"),
                f"no service serves model {model}",
            )


def check_cycles(records: Records) -> Iterator[ErrorDetail]:
    """Finds objects that refer to one another in a cycle.

    All references are followed, so that a field added to REFERENCES later is
    covered too; today only `after` of rollout jobs can close a cycle.
    """
    nodes_by_id = {
        (record.kind, record.name): record for record in records.records
    }
    graph: dict[Any, set[Any]] = {}
    for reference, record, named in _references(records):
        source = (record.kind, record.name)
        graph.setdefault(source, set()).add((reference.target, named))
    while cycle := _find_cycle(graph):
        first = min(cycle, key=lambda node: nodes_by_id[node].path)
        start = cycle.index(first)
        names = [name for _, name in cycle[start:] + cycle[:start]]
        field = "after" if first[0] == "rollout_job" else "name"
        yield ErrorDetail(
            ResultCode.OBJECT_CYCLE,
            nodes_by_id[first].at(field),
            " -> ".join([*names, names[0]]) + " is a cycle",
        )
        # Without its nodes' references the next cycle is found.
        for node in cycle:
            graph.pop(node, None)


def check_services(records: Records) -> Iterator[ErrorDetail]:
    """Finds services without endpoints, and models or paths not named."""
    for record in records.of_kind("service"):
        config = record.config
        if config.get("endpoints") == ():
            yield ErrorDetail(
                ResultCode.SERVICE_WITHOUT_ENDPOINTS,
                record.at("endpoints"),
                "must list at least one endpoint",
            )
        needed = {"model": "model", "plain": "path"}.get(config.get("kind"))
        if needed and config[needed] == "":
            yield ErrorDetail(
                ResultCode.OBJECT_FIELD,
                record.at(needed),
                f"is needed for kind {config['kind']}",
            )


def check_paths(records: Records) -> Iterator[ErrorDetail]:
    """Finds plain services whose paths are the same or one below another."""
    placed = [(path, "the entry itself") for path in RESERVED_PATHS]
    for record in records.of_kind("service"):
        path = record.config.get("path")
        if not path or record.config.get("kind") != "plain":
            continue
        for other, owner in placed:
            if _overlap(path, other):
                yield ErrorDetail(
                    ResultCode.PATH_CLASH,
                    record.at("path"),
                    f"{path} clashes with {other} of {owner}",
                )
        placed.append((path, f"service {record.name}"))


def check_staleness(records: Records) -> Iterator[ErrorDetail]:
    """Finds jobs whose staleness bound can't be met.

    A step may take `step_deadline_s` = D seconds and the model of its service
    gets new weights every `weights_interval_s` = I seconds. If
    D > (staleness_bound + 1) * I, then more versions than the bound allows
    appear within every step that uses its time, however it is timed, and its
    first samples are too old when it is sealed. At or below that limit a step
    can be timed to meet the bound. I = 0 means unknown and is not checked.
    """
    services_by_name = {r.name: r for r in records.of_kind("service")}
    for record in records.of_kind("rollout_job"):
        service = services_by_name.get(record.config.get("service"))
        if service is None:
            continue
        interval_s = service.config.get("weights_interval_s")
        bound = record.config.get("staleness_bound")
        deadline_s = record.config.get("step_deadline_s")
        if not interval_s or None in (bound, deadline_s):
            continue
        if deadline_s > (bound + 1) * interval_s:
            yield ErrorDetail(
                ResultCode.STALENESS_UNREACHABLE,
                record.at("staleness_bound"),
                f"{bound} can't be met: a step may take {deadline_s} s and "
                f"new weights come every {interval_s} s",
            )


def check_guarantees(records: Records) -> Iterator[ErrorDetail]:
    """Finds guaranteed rates that add to more than the services yield.

    Client accounts are not tied to services, so all guarantees are compared
    with what all model services yield. Nothing is checked while the yield of
    one of them is unknown.
    """
    yields = [
        record.config.get("tokens_per_second")
        for record in records.of_kind("service")
        if record.config.get("kind") == "model"
    ]
    guaranteed = [
        (record, record.config.get("tokens_per_second") or 0)
        for record in records.of_kind("client_account")
    ]
    total = sum(rate for _, rate in guaranteed)
    if not all(yields) or total <= sum(yields):
        return
    # The largest guarantee is named, since the sum has no place in a file.
    largest, _ = max(guaranteed, key=lambda pair: pair[1])
    yield ErrorDetail(
        ResultCode.LIMITS_EXCEED_WHOLE,
        largest.at("tokens_per_second"),
        f"guarantees add to {total} tokens/s; services yield {sum(yields)}",
    )


CHECKS: tuple[Callable[[Records], Iterable[ErrorDetail]], ...] = (
    check_names,
    check_key_hashes,
    check_version_numbers,
    check_endpoint_names,
    check_references,
    check_version_models,
    check_cycles,
    check_services,
    check_paths,
    check_staleness,
    check_guarantees,
)


def check_set(records: Records) -> tuple[ErrorDetail, ...]:
    """Returns every error of a set, those of single objects included."""
    found = itertools.chain.from_iterable(check(records) for check in CHECKS)
    return (*records.errors, *found)


def _duplicates(
    placed: Iterable[tuple[Hashable, str]], describe: Callable[[Any], str]
) -> Iterator[ErrorDetail]:
    first_by_key: dict[Hashable, str] = {}
    for key, path in placed:
        first = first_by_key.setdefault(key, path)
        if first != path:
            yield ErrorDetail(
                ResultCode.OBJECT_DUPLICATE,
                path,
                f"{describe(key)} is already at {first}",
            )


def _references(
    records: Records,
) -> Iterator[tuple[Reference, Record, str]]:
    """Yields each reference with its record and the name that is named."""
    return (
        (reference, record, record.config[reference.field])
        for reference in REFERENCES
        for record in records.of_kind(reference.kind)
        if record.config.get(reference.field)
    )


def _check_target(
    reference: Reference, target: Record | None, named: str
) -> str:
    if target is None:
        return f"there is no {reference.target} {named}"
    wanted = reference.service_kind
    if wanted and target.config.get("kind") not in (wanted, None):
        return f"service {named} is not of kind {wanted}"
    return ""


def _find_cycle(graph: dict[Any, set[Any]]) -> list[Any]:
    """Returns the nodes of a cycle in the order of their references."""
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        # The sorter reports predecessors first and repeats the first node.
        return error.args[1][:0:-1]
    return []


def _overlap(path: str, other: str) -> bool:
    return f"{path}/".startswith(f"{other}/") or f"{other}/".startswith(
        f"{path}/"
    )
