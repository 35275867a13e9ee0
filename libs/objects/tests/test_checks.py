"""A set with errors must be refused whole, with every error in its place."""

import copy
import tomllib

import pytest
from shallotstand.core.codes import ResultCode as Code
from shallotstand.objects.loader import load_catalog, make_catalog
from shallotstand.objects.records import Records, read_document

GOOD = """
[[client_account]]
name = "club"
tokens_per_second = 100
[[key]]
name = "club-1"
account = "club"
hash = "HASH"
[[service]]
name = "drafts"
model = "drafter"
tokens_per_second = 100
weights_interval_s = 180
endpoints = [{name="e1", address="127.0.0.1:1", zone="z", instance="i"}]
[[service]]
name = "check"
kind = "plain"
path = "/check"
endpoints = [{name="e2", address="127.0.0.1:2", zone="z", instance="i"}]
[[model_version]]
name = "v1"
model = "drafter"
number = 1
weights = "w/1"
[[rollout_job]]
name = "plans"
account = "club"
service = "drafts"
scorer = "check"
group_size = 4
groups_per_step = 2
staleness_bound = 2
""".replace("HASH", "a" * 64)


def document() -> dict:
    return copy.deepcopy(tomllib.loads(GOOD))


def errors_of(changed: dict) -> list[tuple[Code, str]]:
    result = make_catalog(read_document(changed, "f.toml"))
    return [(detail.code, detail.path) for detail in result.details]


def put(kind, index, /, **fields):
    def change(changed):
        changed[kind][index].update(fields)

    return change


def add(kind, /, **fields):
    def change(changed):
        changed[kind].append({**changed[kind][0], **fields})

    return change


def both(*changes):
    return lambda changed: [change(changed) for change in changes]


@pytest.mark.parametrize(
    ("change", "code", "path"),
    [
        (put("key", 0, account="x"), Code.OBJECT_REFERENCE, "key[0].account"),
        (
            put("rollout_job", 0, service="check"),
            Code.OBJECT_REFERENCE,
            "rollout_job[0].service",
        ),
        (
            put("model_version", 0, model="x"),
            Code.OBJECT_REFERENCE,
            "model_version[0].model",
        ),
        (
            add("client_account", tokens_per_second=0),
            Code.OBJECT_DUPLICATE,
            "client_account[1].name",
        ),
        (add("key", name="k2"), Code.OBJECT_DUPLICATE, "key[1].hash"),
        (
            add("model_version", name="v2"),
            Code.OBJECT_DUPLICATE,
            "model_version[1].number",
        ),
        (
            add("service", name="s2"),
            Code.OBJECT_DUPLICATE,
            "service[2].endpoints[0].name",
        ),
        (
            put("service", 0, endpoints=[]),
            Code.SERVICE_WITHOUT_ENDPOINTS,
            "service[0].endpoints",
        ),
        (
            put("rollout_job", 0, after="plans"),
            Code.OBJECT_CYCLE,
            "rollout_job[0].after",
        ),
        (
            both(
                add("rollout_job", name="b", after="c"),
                add("rollout_job", name="c", after="b"),
            ),
            Code.OBJECT_CYCLE,
            "rollout_job[1].after",
        ),
        (
            put("rollout_job", 0, staleness_bound=1),
            Code.STALENESS_UNREACHABLE,
            "rollout_job[0].staleness_bound",
        ),
        (
            put("rollout_job", 0, staleness_bound=0, step_deadline_s=181),
            Code.STALENESS_UNREACHABLE,
            "rollout_job[0].staleness_bound",
        ),
        (
            put("client_account", 0, tokens_per_second=101),
            Code.LIMITS_EXCEED_WHOLE,
            "client_account[0].tokens_per_second",
        ),
        (
            add(
                "service", name="s", kind="plain", path="/check/a", endpoints=[]
            ),
            Code.PATH_CLASH,
            "service[2].path",
        ),
        (put("service", 1, path="/v1/x"), Code.PATH_CLASH, "service[1].path"),
        (put("service", 1, path=""), Code.OBJECT_FIELD, "service[1].path"),
        (put("service", 0, extra=1), Code.OBJECT_FIELD, "service[0].extra"),
        (lambda d: d.update(thing=[]), Code.OBJECT_FIELD, "thing"),
    ],
)
def test_each_fault_is_found_where_it_stands(change, code, path):
    changed = document()
    change(changed)
    assert (code, f"f.toml: {path}") in errors_of(changed)


def test_good_set_and_bounds_that_can_just_be_met_pass():
    changed = document()
    put("rollout_job", 0, staleness_bound=0, step_deadline_s=180)(changed)
    catalog = make_catalog(read_document(changed, "f.toml"), 7)
    assert catalog.revision == 7
    assert catalog.services_by_name["check"].endpoints[0].name == "e2"


def test_all_errors_are_reported_at_once_in_spite_of_wrong_fields():
    changed = document()
    put("service", 0, flush_ms="x", endpoints=[{}, 3])(changed)
    put("key", 0, account="x", hash=3)(changed)
    add("rollout_job", after="none", group_size=0)(changed)
    found = {path.split(": ")[1]: code for code, path in errors_of(changed)}
    assert (
        found.items()
        >= {
            "service[0].flush_ms": Code.OBJECT_FIELD,
            "service[0].endpoints[0].address": Code.OBJECT_FIELD,
            "service[0].endpoints[1]": Code.OBJECT_FIELD,
            "key[0].hash": Code.OBJECT_FIELD,
            "key[0].account": Code.OBJECT_REFERENCE,
            "rollout_job[1].name": Code.OBJECT_DUPLICATE,
            "rollout_job[1].after": Code.OBJECT_REFERENCE,
            "rollout_job[1].group_size": Code.OBJECT_FIELD,
        }.items()
    )


def test_records_that_are_no_tables_do_not_stop_the_check():
    kinds = document()
    everything_wrong = {kind: [1, {}] for kind in kinds}
    found = errors_of(everything_wrong)
    assert {code for code, _ in found} == {
        Code.OBJECT_FIELD,
        Code.SERVICE_WITHOUT_ENDPOINTS,
    }
    assert make_catalog(Records((), ())).revision == 0


def test_files_of_a_directory_are_checked_together(tmp_path):
    parts = GOOD.partition("[[service]]")
    (tmp_path / "a.toml").write_text(parts[0])
    (tmp_path / "b.toml").write_text(parts[1] + parts[2])
    assert load_catalog([str(tmp_path)]).keys_by_name["club-1"]
    (tmp_path / "c.toml").write_text("[[")
    failed = load_catalog([str(tmp_path), str(tmp_path / "none.toml")])
    assert [d.code for d in failed.details] == [Code.OBJECT_SYNTAX] * 2
