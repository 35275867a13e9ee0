"""Which time the system's clock measures."""

import time

from shallotstand.core.clock import SystemClock


def test_monotonic_time_includes_suspended_time(monkeypatch):
    # Guards against a lease that its holder takes for valid after its
    # instance was suspended for longer than the lease lasts.
    readings = {time.CLOCK_BOOTTIME: 70.0, time.CLOCK_MONOTONIC: 10.0}
    monkeypatch.setattr(time, "clock_gettime", readings.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: 10.0)
    assert SystemClock().monotonic() == 70.0
