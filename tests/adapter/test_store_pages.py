"""Pages of the store are read although single objects can't be."""

import orjson
import pytest
from shallotstand.adapter.store_pages import load_page

DEEP = b"[" * 100_000 + b"]" * 100_000
SOUND = b'{"metadata":{"name":"a","revision":7},"spec":{"slots":8}}'
UNREADABLE = [
    DEEP,
    b'{"x":' + DEEP + b"}",
    b'{"x":[{"y":' + DEEP + b"}]}",
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
]


def make_object(spec):
    metadata = b'{"name":"odd","revision":9,"finalizers":[]}'
    return b'{"metadata":%b,"spec":%b,"status":null}' % (metadata, spec)


def pages(odd_object):
    """Returns a listing and the answer of a watch that have the object."""
    return (
        b'{"items":[%b,%b],"more":false,"as_of":9}' % (SOUND, odd_object),
        b'{"events":[{"object":%b,"removed":false},'
        b'{"object":%b,"removed":true}],"as_of":9}' % (SOUND, odd_object),
    )


def objects(page):
    assert page["as_of"] == 9
    if "items" in page:
        return page["items"]
    assert [event["removed"] for event in page["events"]] == [False, True]
    return [event["object"] for event in page["events"]]


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("spec", UNREADABLE)
def test_content_that_cannot_be_read_is_none(spec, number):
    # Guards against one deeply nested object that hides the whole page.
    sound, odd = objects(load_page(pages(make_object(spec))[number]))
    assert sound == orjson.loads(SOUND)
    assert odd["metadata"] == {"name": "odd", "revision": 9, "finalizers": []}
    assert odd["spec"] is None


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize(
    ("text", "value"),
    [
        (b"1e999", float("inf")),
        (b"9" * 5000, float("inf")),
        (b"9" * 400, float("inf")),
        (rb'"\ud800"', "\ud800"),
        (b'"\xff"', "\udcff"),
        (rb'"a\"]}\\"', 'a"]}\\'),
    ],
)
def test_values_out_of_range_are_kept(text, value, number):
    # Guards against one odd value that hides the whole page.
    for spec in (
        b'{"x":%b,"y":1e999}' % text,
        b'{"z":{"x":%b,"y":NaN}}' % text,
    ):
        sound, odd = objects(load_page(pages(make_object(spec))[number]))
        assert sound == orjson.loads(SOUND)
        fields = odd["spec"].get("z", odd["spec"])
        assert fields["x"] == value


@pytest.mark.parametrize(
    "content",
    [b"", b"{", b"]", b"[}" * 9, b"{]", b"\xff", b'{"items":[}', b"nonsense"],
)
def test_malformed_page_is_an_error(content):
    # Guards against a page that was cut off and is taken for a whole one.
    with pytest.raises(ValueError):
        load_page(content)
