"""Which endpoint is the best for a unary request and for a batch item."""

from shallotstand.dispatch.ranking import (
    EndpointView,
    SpeedRanking,
    WorkRanking,
)

WORK_S = 0.0375


def view(
    seconds_per_unit=1.0,
    running=0,
    is_in_zone=True,
    failure_rate=0.0,
    expected_s=WORK_S,
    work_left_s=None,
    has_idle_connection=True,
):
    return EndpointView(
        running,
        6,
        seconds_per_unit,
        is_in_zone,
        failure_rate,
        expected_s,
        running * WORK_S if work_left_s is None else work_left_s,
        has_idle_connection,
    )


def best(ranking, **view_by_name):
    return min(view_by_name, key=lambda name: ranking.cost(view_by_name[name]))


def test_item_goes_to_a_fast_engine_that_is_partly_used():
    # Pattern: some engines are a third slower than the others, and steps wait
    # for their longest items. By load alone, those go to the slow engines,
    # which are the idle ones.
    engines = {"slow": view(1.33), "fast": view(running=4)}
    assert best(SpeedRanking(), **engines) == "fast"
    assert best(WorkRanking(), **engines) == "slow"


def test_item_goes_to_the_less_loaded_of_equally_fast_engines():
    engines = {"used": view(running=2), "idle": view(running=1)}
    assert best(SpeedRanking(), **engines) == "idle"


def test_item_leaves_its_zone_only_for_a_faster_engine():
    # Guards against traffic between zones that gains nothing.
    other = view(running=0, is_in_zone=False)
    assert best(SpeedRanking(), own=view(running=2), other=other) == "own"
    assert best(SpeedRanking(), own=view(1.33), other=other) == "other"


def test_endpoint_that_fails_fast_does_not_attract_requests():
    # Pattern: an endpoint fails part of its requests at once, so it
    # looks idle.
    endpoints = {
        "failing": view(failure_rate=0.4),
        "sound": view(running=3),
    }
    assert best(SpeedRanking(), **endpoints) == "sound"
    assert best(WorkRanking(), **endpoints) == "sound"


def test_request_goes_where_least_work_is_left():
    # Pattern: requests of one service look alike and cost a few milliseconds
    # or half a second. Guards against a short queue of long requests that looks
    # better than a long queue of short ones.
    endpoints = {
        "two long ones": view(running=2, work_left_s=0.9),
        "four short ones": view(running=4, work_left_s=0.1),
    }
    assert best(WorkRanking(), **endpoints) == "four short ones"


def test_long_request_prefers_the_faster_endpoint_and_a_short_one_the_idle():
    # Guards against one order of the endpoints for requests of any cost.
    def endpoints(expected_s):
        return {
            "slow and idle": view(3.0, expected_s=expected_s),
            "fast and used": view(
                running=2, work_left_s=0.2, expected_s=expected_s
            ),
        }

    assert best(WorkRanking(), **endpoints(0.02)) == "slow and idle"
    assert best(WorkRanking(), **endpoints(0.5)) == "fast and used"


def test_open_connection_decides_between_equal_endpoints():
    # Guards against connections that are opened to each endpoint in turn.
    engines = {
        "new": view(has_idle_connection=False),
        "open": view(running=1),
    }
    assert best(SpeedRanking(), **engines) == "open"
    engines["open"] = view(1.4)
    assert best(SpeedRanking(), **engines) == "new"
