"""An endpoint that started again is told from the one that its entry names."""

import asyncio

import pytest
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.standins.memory_engines import MemoryEngines, make_endpoint

SILENT = Failure(ResultCode.ENDPOINT_TIMEOUT, "silent")
OTHER_INSTANCE = Failure(ResultCode.ENDPOINT_REFUSED, "status 421")


def find_restart(reported, is_list_current, started_ms=5):
    engines = MemoryEngines()
    engines.start_by_endpoint["a"] = reported
    check = StartCheck(engines)
    check.is_list_current = lambda: is_list_current
    return asyncio.run(
        check.find_restart(make_endpoint("a", started_ms=started_ms))
    )


@pytest.mark.parametrize("is_list_current", [False, True])
def test_listed_start_is_no_restart(is_list_current):
    assert find_restart(5, is_list_current) is None


@pytest.mark.parametrize("is_list_current", [False, True])
@pytest.mark.parametrize("reported", [4, 6, OTHER_INSTANCE])
def test_another_start_is_a_restart(reported, is_list_current):
    # Guards against a list that is believed more than the endpoint itself.
    failure = find_restart(reported, is_list_current)
    assert failure.code == ResultCode.ENDPOINT_RESTARTED


def test_current_list_counts_if_the_endpoint_does_not_tell():
    # Guards against streams that end since an endpoint gives no report.
    assert find_restart(SILENT, is_list_current=True) is None
    assert find_restart(SILENT, is_list_current=False) is not None


def test_entry_without_a_start_is_not_checked():
    assert find_restart(6, is_list_current=False, started_ms=0) is None
