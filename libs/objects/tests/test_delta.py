"""A delta must lead to exactly the publisher's set or be refused."""

import pytest
from shallotstand.core.codes import ResultCode as Code
from shallotstand.objects.delta import Delta, apply_delta, render_diff
from shallotstand.objects.encoding import (
    SNAPSHOT_PART_BYTES,
    catalog_digest,
    decode_catalog,
    encode_catalog,
    join_snapshot,
    split_snapshot,
)
from shallotstand.objects.types import (
    Catalog,
    ClientAccount,
    Endpoint,
    Key,
    Service,
)

DRAFTS = Service(
    *("drafts", "model", "m", "", False, False),
    (Endpoint("e1", "127.0.0.1:1", "z", "i"),),
    *(True, (429,), 10, 0.0, 100, 30.0),
)
BASE = Catalog.empty()._replace(
    revision=1,
    accounts_by_name={"a": ClientAccount("a", 1.0, 0.0, 0, False)},
    keys_by_name={"k": Key("k", "a", "0" * 64)},
    services_by_name={"drafts": DRAFTS},
)
NEXT = BASE._replace(
    revision=2,
    keys_by_name={},
    services_by_name={"drafts": DRAFTS._replace(flush_ms=20)},
)
DELTA = Delta.between(BASE, NEXT)


def test_delta_and_snapshot_survive_their_encoding():
    assert apply_delta(BASE, Delta.decode(DELTA.encode())) == NEXT
    assert decode_catalog(encode_catalog(NEXT), 2) == NEXT
    assert DELTA.names == ("key k", "service drafts")


def test_digest_does_not_depend_on_order_but_on_content():
    two = {n: ClientAccount(n, 1.0, 0.0, 0, False) for n in ("a", "b")}
    turned = dict(reversed(two.items()))
    first = BASE._replace(accounts_by_name=two)
    assert catalog_digest(first) == catalog_digest(
        BASE._replace(accounts_by_name=turned)
    )
    assert catalog_digest(first) != catalog_digest(BASE)


@pytest.mark.parametrize(
    ("held", "delta", "code"),
    [
        (BASE._replace(revision=0), DELTA, Code.REVISION_GAP),
        (NEXT, DELTA, Code.REVISION_OLDER),
        (BASE, DELTA._replace(digest="0"), Code.DIGEST_MISMATCH),
        (BASE._replace(accounts_by_name={}), DELTA, Code.DIGEST_MISMATCH),
        (
            BASE,
            DELTA._replace(changed={"key": {"k": {"x": 1}}}),
            Code.DIGEST_MISMATCH,
        ),
    ],
)
def test_delta_that_does_not_fit_is_refused(held, delta, code):
    assert apply_delta(held, delta).code == code


def test_large_snapshot_is_split_and_damage_is_noticed():
    accounts = {
        f"a{n}": ClientAccount(f"a{n}", 1.0, 0.0, 0, False)
        for n in range(20_000)
    }
    large = BASE._replace(accounts_by_name=accounts)
    parts = split_snapshot(encode_catalog(large))
    assert max(map(len, parts)) <= SNAPSHOT_PART_BYTES
    digest = catalog_digest(large)
    assert join_snapshot(parts, 1, digest) == large
    damaged = join_snapshot(parts[:-1], 1, digest)
    assert damaged.code == Code.DIGEST_MISMATCH


def test_diff_names_fields_and_objects():
    assert render_diff(BASE, NEXT) == (
        "- key k\n~ service drafts: flush_ms 10 -> 20\n"
    )
    assert render_diff(NEXT, BASE).startswith("+ key k\n")


def test_whole_numbers_in_fraction_fields_keep_the_digest():
    whole = NEXT._replace(
        accounts_by_name={"a": ClientAccount("a", 1, 0, 0, False)},
        services_by_name={
            "drafts": DRAFTS._replace(tokens_per_second=0, deadline_s=30)
        },
    )
    delta = Delta.decode(Delta.between(BASE, whole).encode())
    assert apply_delta(BASE, delta) == whole
    held = join_snapshot([encode_catalog(whole)], 2, catalog_digest(whole))
    assert catalog_digest(held) == catalog_digest(whole)
