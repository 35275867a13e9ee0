"""Asks a gateway where a request or a batch item would go now."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson
from shallotstand.cli.output import render_fields, render_rows
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.outbound.response_handler import BoundedConnector
from shallotstand.outbound.single_send import send_once

_TIMEOUT_S = 5.0
_PAGE = "placement"


def ask_gateway(address: str, query: Mapping[str, str]) -> Any:
    """Returns the gateway's report.

    Args:
      address: Metrics address of the gateway, such as `127.0.0.1:9464`.
      query: What the request is; see `PlacementQuery`.

    Errors:
      SETTINGS_INVALID: There is no address.
      ADMIN_UNREACHABLE: No answer that can be understood.
      Others: What the gateway answered.
    """
    if not address:
        return Failure(ResultCode.SETTINGS_INVALID, "Give --metrics.")
    return asyncio.run(_ask(address, query))


async def _ask(address: str, query: Mapping[str, str]) -> Any:
    try:
        async with (
            aiohttp.ClientSession(
                connector=BoundedConnector(),
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
                middlewares=(send_once,),
            ) as session,
            session.get(f"http://{address}/{_PAGE}", params=query) as response,
        ):
            answer = orjson.loads(await response.read())
            if response.status == 200:
                return answer
            error = answer["error"]
            return Failure(ResultCode(error["code"]), error["message"])
    except (
        aiohttp.ClientError,
        OSError,
        TimeoutError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        return Failure(
            ResultCode.ADMIN_UNREACHABLE,
            f"{address}: {str(error) or type(error).__name__}",
        )


def render_report(report: Mapping[str, Any]) -> str:
    """Returns the decision, then a table of the endpoints."""
    head = {name: report[name] for name in report if name != "endpoints"}
    return f"{render_fields(head)}\n{render_rows(report['endpoints'])}"
