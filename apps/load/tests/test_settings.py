"""Tests of the settings of a load run."""

from shallotstand.core.codes import ResultCode
from shallotstand.load.plan import plan_requests
from shallotstand.load.settings import TABLE, LoadSettings

CONFIG = {
    "targets": ["127.0.0.1:8000", "[::1]:8001"],
    "model": "drafts",
    "requests": 500,
    "rate_per_s": 100,
    "account": [
        {"name": "large", "key": "k1", "share": 9},
        {"name": "small", "key": "k2", "share": 1},
    ],
}


def checked(**fields):
    return TABLE.check(CONFIG | fields, "", ResultCode.SETTINGS_INVALID)


def test_other_machines_are_refused():
    # Guards against load that leaves this machine.
    for address in ("192.0.2.1:80", "0.0.0.0:80", "[2001:db8::1]:80"):
        errors = checked(targets=[address]).errors
        assert [error.path for error in errors] == ["targets[0]"]
        assert "not a loopback address" in errors[0].reason


def test_runs_are_bounded():
    # Guards against a run without end.
    assert len(checked(requests=10**9, duration_s=10**9).errors) == 2


def test_plan_follows_seed_and_shares():
    # Guards against runs that can't be repeated or compared.
    settings = LoadSettings.from_config(checked().value)
    plan = list(plan_requests(settings))
    assert plan == list(plan_requests(settings))
    assert plan != list(plan_requests(settings._replace(seed=2)))
    assert 3.5 < plan[-1].at_s < 6.5
    large = sum(request.account.name == "large" for request in plan)
    assert 420 < large < 480
    assert 200 < sum(request.streamed for request in plan) < 300
