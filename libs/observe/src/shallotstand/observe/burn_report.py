"""The burn report as a table for terminals and as JSON."""

from collections.abc import Sequence
from typing import TypedDict

from shallotstand.observe.burn import (
    HOUR_S,
    MINUTE_S,
    Objective,
    ObjectiveBurn,
    Subject,
    WindowBurn,
)

_NO_VALUE = "-"


class WindowJson(TypedDict):
    """A window in the JSON report; `rate` is null without requests."""

    window: str
    rate: float | None
    counted: float


class BurnJson(TypedDict):
    """An objective in the JSON report."""

    service: str
    account: str
    target: float
    budget_left: float
    alerts: list[str]
    windows: list[WindowJson]


def burns_to_json(burns: Sequence[ObjectiveBurn]) -> list[BurnJson]:
    """Converts the report to values that can be encoded as JSON."""
    return [
        BurnJson(
            service=burn.objective.subject.service,
            account=burn.objective.subject.account,
            target=burn.objective.target,
            budget_left=round(burn.budget_left, 6),
            alerts=list(burn.alerts),
            windows=[
                WindowJson(
                    window=format_window_length(window.length_s),
                    rate=window.rate,
                    counted=window.coverage,
                )
                for window in burn.windows
            ],
        )
        for burn in burns
    ]


def burns_from_json(burns: Sequence[BurnJson]) -> list[ObjectiveBurn]:
    """Converts the values from `burns_to_json` back to the report."""
    return [
        ObjectiveBurn(
            objective=Objective(
                Subject(burn["service"], burn["account"]), burn["target"]
            ),
            windows=tuple(
                WindowBurn(
                    _parse_window_length(window["window"]),
                    window["rate"],
                    window["counted"],
                )
                for window in burn["windows"]
            ),
            budget_left=burn["budget_left"],
            alerts=tuple(burn["alerts"]),
        )
        for burn in burns
    ]


def render_burn_table(burns: Sequence[ObjectiveBurn]) -> str:
    """Returns the report as a table; `*` marks rates with missing minutes."""
    if not burns:
        return "No objectives are configured.\n"
    names = [
        format_window_length(window.length_s) for window in burns[0].windows
    ]
    header = ["service", "account", "target", "budget left", *names, "alert"]
    rows = [header, *(_format_row(burn) for burn in burns)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
    note = "* some minutes of the window were not reported by all entries\n"
    table = "\n".join(lines) + "\n"
    return table + note if "*" in table else table


def format_window_length(length_s: int) -> str:
    """Returns a window's length in minutes or hours, such as `6h`."""
    if length_s < HOUR_S:
        return f"{length_s // MINUTE_S}m"
    return f"{length_s // HOUR_S}h"


def _parse_window_length(name: str) -> int:
    unit = HOUR_S if name.endswith("h") else MINUTE_S
    return int(name[:-1]) * unit


def _format_row(burn: ObjectiveBurn) -> list[str]:
    subject = burn.objective.subject
    return [
        subject.service,
        subject.account or "(all)",
        f"{burn.objective.target:.3%}",
        f"{burn.budget_left:.1%}",
        *(_format_rate(window) for window in burn.windows),
        ", ".join(burn.alerts) or _NO_VALUE,
    ]


def _format_rate(window: WindowBurn) -> str:
    if window.rate is None:
        return _NO_VALUE
    mark = "" if window.coverage == 1 else "*"
    return f"{window.rate:.2f}{mark}"
