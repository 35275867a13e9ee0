"""The burn report as one HTML page without any other file."""

import html
import io
from collections.abc import Sequence

import matplotlib
from matplotlib.figure import Figure
from shallotstand.observe.burn import ALERT_RULES
from shallotstand.observe.burn_report import BurnJson, format_window_length

_STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;"
    "border:1px solid #999;text-align:left}"
)
_WIDTH_IN, _HEIGHT_IN = 7.0, 2.6
_THRESHOLD_BY_WINDOW = {
    format_window_length(window.long_s): window.threshold
    for window in ALERT_RULES
}


def render_html(burns: Sequence[BurnJson]) -> str:
    """Returns the page: for each objective a table and a plot."""
    parts = "".join(_section(burn) for burn in burns)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Burn report</title><style>{_STYLE}</style></head><body>"
        "<h1>Burn report</h1><p>A burn rate of 1 uses the error budget of 30 "
        "days in 30 days. Windows marked * lack the counts of some minutes."
        f"</p>{parts or '<p>No objectives are configured.</p>'}"
        "</body></html>\n"
    )


def _section(burn: BurnJson) -> str:
    service = html.escape(burn["service"])
    alerts = html.escape(", ".join(burn["alerts"])) or "none"
    cells = "".join(
        f"<tr><td>{window['window']}{_mark(window['counted'])}</td>"
        f"<td>{_rate(window['rate'])}</td><td>{window['counted']:.0%}</td></tr>"
        for window in burn["windows"]
    )
    return (
        f"<h2>{service}</h2><p>Target {burn['target']:.3%}, budget left "
        f"{burn['budget_left']:.1%}, alerts: {alerts}</p>"
        "<table><tr><th>window</th><th>burn rate</th>"
        f"<th>minutes counted</th></tr>{cells}</table>{_plot(burn)}"
    )


def _plot(burn: BurnJson) -> str:
    """Returns an SVG with a bar for each window and the alert thresholds."""
    names = [window["window"] for window in burn["windows"]]
    rates = [window["rate"] or 0.0 for window in burn["windows"]]
    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    axes = figure.subplots()
    axes.bar(names, rates, color="#4878a8")
    for index, name in enumerate(names):
        if name in _THRESHOLD_BY_WINDOW:
            level = _THRESHOLD_BY_WINDOW[name]
            axes.hlines(level, index - 0.45, index + 0.45, color="#c03030")
    axes.set_xlabel("window")
    axes.set_ylabel("burn rate")
    content = io.StringIO()
    # Fixed ids and no date: the same report gives the same page.
    salt = {"svg.hashsalt": burn["service"]}
    with matplotlib.rc_context(salt):
        figure.savefig(content, format="svg", metadata={"Date": None})
    text = content.getvalue()
    return text[text.index("<svg") :]


def _mark(counted: float) -> str:
    return "" if counted == 1 else "*"


def _rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"
