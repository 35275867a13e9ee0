"""Queries of the placement page that can't be answered."""

from types import SimpleNamespace

import pytest
from shallotstand.core.codes import ResultCode
from shallotstand.gateway.placement_page import PlacementPage


def answer(query, configuration=None):
    handler = SimpleNamespace(configuration=configuration)
    serving = SimpleNamespace(request_handler=handler)
    return PlacementPage(serving, lambda: "g").answer(query)


@pytest.mark.parametrize(
    "query",
    [
        {},
        {"host": "h"},
        {"host": "h", "path": "/", "size": "many"},
        {"host": "h", "path": "/", "min_version": "new"},
    ],
)
def test_bad_query_is_an_error(query):
    # Guards against a query that ends the gateway.
    assert answer(query).code == ResultCode.BAD_REQUEST


def test_gateway_without_a_configuration_says_so():
    outcome = answer({"host": "h", "path": "/"})
    assert outcome.code == ResultCode.CONFIG_UNCONFIRMED
