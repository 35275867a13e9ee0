"""Settings of a load run."""

import ipaddress
from collections.abc import Mapping
from typing import Any, NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail
from shallotstand.settings.options import (
    Address,
    CheckResult,
    Integer,
    ListOf,
    Name,
    Number,
    SocketAddress,
    Table,
    Text,
)

MAX_REQUESTS = 1_000_000
MAX_DURATION_S = 3600.0


class LoopbackAddress(Address):
    """An address on this machine; load is sent nowhere else."""

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts addresses of the loopback interface."""
        checked = super().check(value, path, code)
        if checked.errors:
            return checked
        if not ipaddress.ip_address(checked.value.host).is_loopback:
            reason = f"{value} is not a loopback address"
            return CheckResult(None, (ErrorDetail(code, path, reason),))
        return checked

    def describe(self) -> str:
        """Returns the form."""
        return "loopback address and port, such as `127.0.0.1:8000`"


def _share(help: str, default: float) -> Number:
    return Number(help, default, maximum=1.0)


TABLE = Table(
    {
        "targets": ListOf(
            LoopbackAddress("Address of an entry."), "Entries, used in turn."
        ),
        "seed": Integer("Seed of the plan.", 1),
        "model": Name("Model that is asked for."),
        "rate_per_s": Number(
            "Mean rate of arrivals.",
            10.0,
            0.01,
            10_000.0,
            unit="requests a second",
        ),
        "requests": Integer("Most requests.", 100, 1, MAX_REQUESTS),
        "duration_s": Number(
            "Time after which no request starts.",
            10.0,
            0.1,
            MAX_DURATION_S,
            unit="seconds",
        ),
        "timeout_s": Number(
            "Longest time of a request.", 30.0, 0.1, 600.0, unit="seconds"
        ),
        "max_in_flight": Integer(
            "Most requests at once; further arrivals are skipped.",
            256,
            1,
            4096,
        ),
        "prompt_chars": Integer("Length of a prompt.", 512, 1, 100_000),
        "max_tokens": Integer("Tokens asked for.", 16, 1, 100_000),
        "prefixes": Integer("Number of shared prompt beginnings.", 4, 1),
        "shared_prompts": _share("Share of prompts with a shared half.", 0.5),
        "streaming": _share("Share of streamed answers.", 0.5),
        "rollouts": _share("Share of requests with rollout priority.", 0.5),
        "account": ListOf(
            Table(
                {
                    "name": Name("Name for the figures."),
                    "key": Text("Key that is sent."),
                    "share": Number("Weight in the mix of requests.", 1.0),
                }
            ),
            "Client accounts.",
        ),
    }
)


class LoadAccount(NamedTuple):
    """A client account that sends requests."""

    name: str
    key: str
    share: float


class LoadSettings(NamedTuple):
    """Settings of a run; see TABLE for the meaning of each."""

    targets: tuple[SocketAddress, ...]
    seed: int
    model: str
    rate_per_s: float
    requests: int
    duration_s: float
    timeout_s: float
    max_in_flight: int
    prompt_chars: int
    max_tokens: int
    prefixes: int
    shared_prompts: float
    streaming: float
    rollouts: float
    accounts: tuple[LoadAccount, ...]

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "LoadSettings":
        """Makes the settings from a table that passed its check."""
        values = dict(config)
        accounts = tuple(LoadAccount(**item) for item in values.pop("account"))
        return cls(**values, accounts=accounts)
