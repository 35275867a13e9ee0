"""Names and values that callers, items and scoring requests may not use."""

import pytest
from shallotstand.adapter import forwarding

from .forwarding_cases import (
    CONNECTION_HEADERS,
    MALFORMED_IDENTIFIERS,
    MALFORMED_NAMES,
    MALFORMED_TARGETS,
    MALFORMED_VALUES,
    SYSTEM_HEADERS,
    SYSTEM_PATHS,
)

OWN = ("X-Shallotstand-Model", "model")
SPELLINGS = [str, str.lower, str.upper, str.swapcase]


@pytest.mark.parametrize("spell", SPELLINGS)
@pytest.mark.parametrize("name", SYSTEM_HEADERS + CONNECTION_HEADERS)
def test_reserved_header_is_dropped_in_any_case(name, spell):
    # Guards against work that runs under another account's name, and against
    # framing, control of engines or a key that passes from a caller to them.
    pairs = [(spell(name), "1"), OWN]
    assert forwarding.request_headers(pairs) == (OWN,)
    assert forwarding.item_headers(dict(pairs)) == (OWN,)
    assert tuple(forwarding.drop_system_headers(pairs)) == (OWN,)


@pytest.mark.parametrize("name", SYSTEM_HEADERS + CONNECTION_HEADERS)
def test_reserved_header_is_dropped_each_time_it_occurs(name):
    pairs = [(spell(name), "1") for spell in SPELLINGS]
    assert forwarding.request_headers([*pairs, OWN]) == (OWN,)
    assert forwarding.item_headers(dict([*pairs, OWN])) == (OWN,)


def test_headers_that_a_connection_header_lists_are_dropped():
    # Guards against headers of one connection that reach another.
    pairs = [("Connection", "close, X-One"), ("x-one", "1"), OWN]
    assert forwarding.request_headers(pairs) == (OWN,)
    assert forwarding.response_headers(dict(pairs)) == (OWN,)


def test_connection_header_lists_no_header_of_the_platform():
    # Guards against a caller or engine that has the model or the signature of
    # a request dropped.
    pairs = [("Connection", OWN[0]), OWN]
    assert forwarding.request_headers(pairs) == (OWN,)
    assert forwarding.response_headers(dict(pairs)) == (OWN,)


def test_other_headers_are_kept_as_they_are():
    pairs = (
        ("X-Other", "a, b"),
        ("x-other", "c"),
        ("Content-Type", "text/plain; charset=utf-8"),
        ("X-Empty", ""),
        ("X-Tab", "a\tb"),
        ("X-Text", "Grüße"),
    )
    assert forwarding.request_headers(pairs) == pairs


@pytest.mark.parametrize("name", MALFORMED_NAMES)
def test_malformed_name_is_refused(name):
    # Guards against a name that passes the list of reserved ones, since an
    # engine reads it as another name than shallotstand does.
    with pytest.raises(ValueError):
        forwarding.request_headers([OWN, (name, "1")])
    with pytest.raises(ValueError):
        forwarding.item_headers(dict([OWN, (name, "1")]))


@pytest.mark.parametrize("name", ["X-Own", "X-Shallotstand-Tenant", "Host"])
@pytest.mark.parametrize("value", MALFORMED_VALUES)
def test_malformed_value_is_refused(value, name):
    # Guards against a value that an engine reads as further headers or as a
    # request of its own.
    with pytest.raises(ValueError):
        forwarding.request_headers([OWN, (name, value)])
    with pytest.raises(ValueError):
        forwarding.item_headers(dict([OWN, (name, value)]))


@pytest.mark.parametrize("value", [None, 1, 1.5, True, ["a"], {"a": "b"}])
def test_header_of_an_item_is_a_string(value):
    # Guards against an item that is accepted and can't be sent.
    with pytest.raises(ValueError):
        forwarding.item_headers({"X-Own": value})


def test_header_of_an_item_occurs_once():
    # Guards against a model for which one engine runs the item while another
    # was meant.
    with pytest.raises(ValueError):
        forwarding.item_headers(
            {"X-Shallotstand-Model": "a", "x-shallotstand-model": "b"}
        )


@pytest.mark.parametrize(
    "target",
    ["/", "/rollouts/3/a%2Fb?q=1&r=%20", "/a/../b", "/a?b?c", "/a:b;c=d,e"],
)
def test_target_is_kept_as_it_is(target):
    assert forwarding.check_request_target(target) == target
    assert forwarding.check_item_target(target) == target


@pytest.mark.parametrize("target", MALFORMED_TARGETS)
def test_malformed_target_is_refused(target):
    with pytest.raises(ValueError):
        forwarding.check_request_target(target)
    with pytest.raises(ValueError):
        forwarding.check_item_target(target)


@pytest.mark.parametrize("target", [None, 5, ["/a"], "a", "http://e1/a", "*"])
def test_item_has_an_absolute_path(target):
    with pytest.raises(ValueError):
        forwarding.check_item_target(target)


@pytest.mark.parametrize("path", SYSTEM_PATHS)
def test_item_can_not_name_a_call_of_the_platform(path):
    # Guards against an item or scoring request that gives engines orders.
    with pytest.raises(ValueError):
        forwarding.check_item_target(path)


@pytest.mark.parametrize(
    "path", ["/shallotstands/a", "/a/shallotstand", "/a/%2e/shallotstand"]
)
def test_similar_path_is_no_call_of_the_platform(path):
    assert forwarding.check_item_target(path) == path


@pytest.mark.parametrize("identifier", MALFORMED_IDENTIFIERS)
def test_malformed_identifier_is_refused(identifier):
    with pytest.raises(ValueError):
        forwarding.check_identifier(identifier)
    with pytest.raises(ValueError):
        forwarding.check_batch_identifier(identifier)


@pytest.mark.parametrize("identifier", ["a/b", "../a", "a?b", "a#b", "a%2f"])
def test_identifier_of_a_batch_fits_into_a_path(identifier):
    # Guards against a batch that can't be read, and against reads of other
    # objects of the store.
    with pytest.raises(ValueError):
        forwarding.check_batch_identifier(identifier)


@pytest.mark.parametrize(
    "host", [None, 5, "", "a b", "a\r\n", "a/b", "a@b", "a:port", "ä.example"]
)
def test_malformed_host_is_refused(host):
    with pytest.raises(ValueError):
        forwarding.check_host(host)


@pytest.mark.parametrize(
    "host", ["host.example", "HOST.example:80", "10.0.0.1", "[::1]:80"]
)
def test_host_is_in_lower_case(host):
    assert forwarding.check_host(host) == host.lower()
