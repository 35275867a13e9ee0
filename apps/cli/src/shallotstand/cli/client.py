"""Client of the administration API."""

import asyncio
import pathlib
from typing import Any, NamedTuple

import aiohttp
import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure
from shallotstand.outbound.response_handler import BoundedConnector
from shallotstand.outbound.single_send import send_once

_CONNECT_TIMEOUT_S = 3.0
# The server waits up to 12 s for entries after a slow store.
_CALL_TIMEOUT_S = 60.0


class Server(NamedTuple):
    """Where the administration API is and how to authenticate.

    Attributes:
      url: Address such as `http://127.0.0.1:7400`.
      key_file: Path of the file with the operator's key; it is not an
        argument, since other users of a machine can read arguments.
    """

    url: str
    key_file: str


def call(server: Server, method: str, path: str, fields: Any = None) -> Any:
    """Calls the API and returns its answer.

    Args:
      server: Where to call.
      method: HTTP method.
      path: Path below `/admin/`, quoted.
      fields: Content of the JSON body.

    Errors:
      SETTINGS_INVALID: Address or key file are missing or can't be read.
      ADMIN_UNREACHABLE: No answer that can be understood; an act may have
        taken effect.
      Others: What the server answered.
    """
    if not server.url or not server.key_file:
        return Failure(
            ResultCode.SETTINGS_INVALID, "Give --server and --key-file."
        )
    try:
        key = pathlib.Path(server.key_file).read_text("utf-8").strip()
    except (OSError, ValueError) as error:
        return Failure(ResultCode.SETTINGS_INVALID, f"Key file: {error}")
    return asyncio.run(_call(server.url, key, method, path, fields))


async def _call(url: str, key: str, method: str, path: str, fields: Any) -> Any:
    timeout = aiohttp.ClientTimeout(
        total=_CALL_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
    )
    try:
        async with (
            aiohttp.ClientSession(
                connector=BoundedConnector(),
                timeout=timeout,
                middlewares=(send_once,),
            ) as session,
            session.request(
                method,
                f"{url.rstrip('/')}/admin/{path}",
                data=None if fields is None else orjson.dumps(fields),
                headers={"Authorization": f"Bearer {key}"},
                allow_redirects=False,
            ) as response,
        ):
            return _decode(response.status, await response.read())
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return Failure(
            ResultCode.ADMIN_UNREACHABLE,
            f"{url}: {str(error) or type(error).__name__}",
        )


def _decode(status: int, body: bytes) -> Any:
    answer = orjson.loads(body)
    if status == 200:
        return answer
    try:
        error = answer["error"]
        return Failure(
            ResultCode(error["code"]),
            error["message"],
            tuple(
                ErrorDetail(ResultCode(d["code"]), d["path"], d["reason"])
                for d in error.get("details", ())
            ),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"Unknown answer with status {status}") from error
