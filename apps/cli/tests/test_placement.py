"""The command that explains where a request would go."""

import asyncio

import orjson
import pytest
from shallotstand.cli import placement
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.observe.exposition import serve_metrics
from shallotstand.observe.metrics import Metrics
from shallotstand.standins.processes import free_address

REPORT = {
    "route": "quote",
    "goes_to": "e1",
    "endpoints": [{"endpoint": "e1", "cost": 0.02, "against": ""}],
}


def ask(page):
    async def scenario():
        metrics = Metrics()
        metrics.pages["/placement"] = page
        address = free_address()
        runner = await serve_metrics(metrics, address.host, address.port)
        try:
            return await asyncio.to_thread(
                placement.ask_gateway, str(address), {"host": "h"}
            )
        finally:
            await runner.cleanup()

    return asyncio.run(asyncio.wait_for(scenario(), 10))


def test_report_of_the_gateway_is_shown():
    asked = []

    def page(query):
        asked.append(dict(query))
        return REPORT

    report = ask(page)
    assert orjson.loads(orjson.dumps(report)) == REPORT
    assert asked == [{"host": "h"}]
    shown = placement.render_report(report)
    assert "goes_to  e1" in shown
    assert "0.02" in shown


def test_error_of_the_gateway_is_passed_on():
    failure = Failure(ResultCode.ROUTE_UNKNOWN, "No route matches this path.")
    outcome = ask(lambda _: failure)
    assert outcome.code == ResultCode.ROUTE_UNKNOWN


@pytest.mark.parametrize(
    ("address", "code"),
    [
        ("", ResultCode.SETTINGS_INVALID),
        (str(free_address()), ResultCode.ADMIN_UNREACHABLE),
    ],
)
def test_gateway_that_cannot_be_asked_is_an_error(address, code):
    assert placement.ask_gateway(address, {}).code == code
