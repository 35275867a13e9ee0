"""Requests that crash endpoints are told from those that ran beside them."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.core.codes import ResultCode
from shallotstand.dispatch.crash_guard import CrashRecordGuard
from shallotstand.dispatch.crash_record import (
    CONFIRMATION_S,
    MAX_CRASHES,
    MAX_REQUESTS,
    MEMORY_S,
    TRIAL_DELAYS_S,
    CrashRecord,
)
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.standins.memory_engines import make_endpoint

CRASHING = b"crashing"
SOUND = b"sound"


class Environment:
    """A record over endpoints that crash and start again."""

    def __init__(self):
        self.clock = ManualClock()
        self.registry = EndpointRegistry("zone-a", self.clock)
        self.endpoints = self.registry.by_id
        for name in ("e1", "e2", "e3", "e4", "e5"):
            self.registry.update_endpoint(make_endpoint(name))
        self.record = CrashRecord(self.registry, self.clock)

    def crash(self, name, *fingerprints):
        """Ends an endpoint under requests; it starts again a second later."""
        for fingerprint in fingerprints:
            self.record.record_cut(fingerprint, self.endpoints[name])
        self.clock.advance(1.0)
        self.endpoints[name] = self.endpoints[name]._replace(
            started_ms=self.endpoints[name].started_ms + 1000
        )

    def crash_until_refused(self, fingerprint=CRASHING):
        for name in ("e1", "e2", "e3")[:MAX_CRASHES]:
            self.crash(name, fingerprint)

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.record.review()


@pytest.fixture
def environment():
    return Environment()


def is_refused(environment, fingerprint=CRASHING):
    refusal = environment.record.refusal(fingerprint)
    return refusal is not None and refusal.code == ResultCode.ENDPOINTS_CRASH


def test_request_is_refused_after_its_third_crash(environment):
    # Guards against a request that ends one endpoint after the other.
    for name in ("e1", "e2", "e3"):
        assert not is_refused(environment)
        environment.crash(name, CRASHING)
    assert is_refused(environment)
    assert not environment.record.may_send_again(CRASHING)
    assert not is_refused(environment, SOUND)
    environment.wait(CONFIRMATION_S + 1)
    assert is_refused(environment)


def test_crash_of_an_endpoint_that_lives_on_does_not_count(environment):
    # Guards against sound requests that are refused after connections were
    # reset while the endpoints lived on.
    for name in ("e1", "e2", "e3"):
        environment.record.record_cut(SOUND, environment.endpoints[name])
    environment.wait(CONFIRMATION_S + 0.1)
    assert not is_refused(environment, SOUND)
    assert environment.record.is_empty


def test_crash_is_not_judged_by_an_outdated_registry(environment):
    # Guards against a crashing request that is forgotten while the store is
    # away and the list of endpoints shows the past.
    environment.record.is_registry_current = lambda: False
    for name in ("e1", "e2", "e3"):
        environment.record.record_cut(CRASHING, environment.endpoints[name])
    environment.wait(CONFIRMATION_S + 0.1)
    for name in ("e1", "e2", "e3"):
        del environment.endpoints[name]
    environment.record.is_registry_current = lambda: True
    environment.record.review()
    assert is_refused(environment)


def test_refused_connection_confirms_a_crash(environment):
    # Guards against a crashing request that is released because the registry
    # does not show the short absence of an endpoint.
    for name in ("e1", "e2", "e3"):
        environment.record.record_cut(CRASHING, environment.endpoints[name])
        environment.clock.advance(0.1)
        environment.registry.record_refused_connection(name)
        assert environment.record.review()[0].endpoint_id == name
        assert environment.record.review() == []
    environment.wait(CONFIRMATION_S + 1)
    assert is_refused(environment)


def test_second_crash_of_one_start_counts_if_the_first_is_confirmed(
    environment,
):
    # Guards against an endpoint that crashes again and again while the registry
    # shows its first start.
    for _ in range(MAX_CRASHES):
        environment.record.record_cut(CRASHING, environment.endpoints["e1"])
        environment.clock.advance(1.5)
        environment.registry.record_refused_connection("e1")
        environment.record.review()
    assert is_refused(environment)


def test_response_clears_a_request(environment):
    # Guards against a sound request that is refused although it succeeds.
    environment.crash_until_refused(SOUND)
    environment.record.record_response(SOUND)
    assert not is_refused(environment, SOUND)
    environment.crash("e4", SOUND)
    assert not is_refused(environment, SOUND)


def test_request_beside_a_crashing_one_is_not_blamed(environment):
    # Guards against sound requests that are refused because they happened to
    # run on the endpoints that another request ended.
    environment.crash("e1", CRASHING)
    for name in ("e2", "e3", "e4"):
        environment.crash(name, CRASHING, SOUND)
    assert is_refused(environment)
    assert not is_refused(environment, SOUND)


def test_copies_that_run_at_once_are_one_crash(environment):
    # Guards against a request that is refused after one endpoint ended.
    for _ in range(MAX_CRASHES):
        environment.record.record_cut(SOUND, environment.endpoints["e1"])
    assert not is_refused(environment, SOUND)


def test_planned_end_of_an_endpoint_is_no_crash(environment):
    # Guards against requests that are refused after a rolling replacement.
    for name in ("e1", "e2", "e3"):
        endpoint = environment.endpoints[name]
        environment.endpoints[name] = endpoint._replace(is_leaving=True)
        environment.record.record_cut(SOUND, endpoint)
    assert not is_refused(environment, SOUND)


def test_refused_request_is_tried_again_a_few_times(environment):
    # Guards against a sound request that is refused for good, and against a
    # crashing one that is tried for ever.
    environment.crash_until_refused()
    trials = 0
    for _ in range(int(MEMORY_S / 10) - 20):
        environment.wait(10.0)
        if not is_refused(environment):
            trials += 1
            # One copy is tried; it is not repeated.
            assert is_refused(environment)
            assert not environment.record.may_send_again(CRASHING)
            environment.crash("e4" if trials == 1 else "e5", CRASHING)
    assert trials == len(TRIAL_DELAYS_S)


def test_only_the_chosen_process_tries_a_refused_request(environment):
    # Guards against trials of all gateways at once.
    environment.record.may_try = lambda _: False
    environment.crash_until_refused()
    environment.wait(TRIAL_DELAYS_S[0] + 1)
    assert is_refused(environment)


def test_record_is_bounded(environment):
    # Guards against memory that grows with the number of requests cut off,
    # and against a crashing request that is pushed out by sound ones.
    environment.crash_until_refused()
    for number in range(2 * MAX_REQUESTS):
        environment.record.record_cut(
            b"%d" % number, environment.endpoints["e4"]
        )
    assert len(environment.record.crashes()) <= MAX_REQUESTS + MAX_CRASHES
    assert is_refused(environment)


def test_copies_differ_in_their_identifier_only(environment):
    # Guards against a crash that counts for one identifier only, and against
    # one that counts for other requests of the account.
    request = EndpointRequest(
        "POST", "/a", "host", (), b"body", "r1", "account", True
    )
    CrashRecordGuard(environment.record, request).record_cut(
        environment.endpoints["e1"]
    )
    for name in ("e2", "e3"):
        CrashRecordGuard(
            environment.record, request._replace(request_id=name)
        ).record_cut(environment.endpoints[name])
    copy = request._replace(request_id="r9")
    assert CrashRecordGuard(environment.record, copy).refusal() is not None
    for other in (
        request._replace(body=b"other"),
        request._replace(account="other"),
        request._replace(target="/b"),
    ):
        assert CrashRecordGuard(environment.record, other).refusal() is None
