"""Client of engines that speak the OpenAI-compatible interface over HTTP."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.protocols import (
    Answer,
    EngineLoad,
    EngineOrder,
    EngineRequest,
)
from shallotstand.outbound.response_handler import BoundedConnector
from shallotstand.outbound.single_send import send_once

_CONNECT_TIMEOUT_S = 1.0
_LOAD_TIMEOUT_S = 2.0
# One connection for each running request; engines batch fewer than this.
_MAX_CONNECTIONS = 1024


class HttpAnswer:
    """An answer that arrives over HTTP."""

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self.status = response.status
        self.content_type = response.content_type

    async def chunks(self) -> AsyncIterator[bytes | Failure]:
        """Yields the body as it arrives from the socket."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except TimeoutError:
            yield Failure(ResultCode.ENDPOINT_TIMEOUT, "The deadline passed.")
        except (aiohttp.ClientError, OSError) as error:
            yield Failure(ResultCode.ANSWER_CUT, type(error).__name__)


class HttpEngine:
    """An engine or plain service at an HTTP address."""

    def __init__(self, url: str):
        """Initializes the client; connections are opened when needed.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
        """
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(limit=_MAX_CONNECTIONS),
                auto_decompress=False,
                middlewares=(send_once,),
            )
        return self._session

    @contextlib.asynccontextmanager
    async def open(
        self, request: EngineRequest
    ) -> AsyncIterator[Answer | Failure]:
        """Sends a request; leaving the context early cancels it."""
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._send(request),
                )
            except aiohttp.ClientConnectorError as error:
                yield Failure(ResultCode.ENDPOINT_REFUSED, str(error.os_error))
            except aiohttp.ConnectionTimeoutError:
                yield Failure(ResultCode.ENDPOINT_REFUSED, "No connection.")
            except TimeoutError:
                yield Failure(ResultCode.ENDPOINT_TIMEOUT, "No answer.")
            except (aiohttp.ClientError, OSError) as error:
                yield Failure(ResultCode.ANSWER_CUT, type(error).__name__)
            else:
                yield HttpAnswer(response)

    def _send(self, request: EngineRequest) -> aiohttp.ClientResponse:
        return self._client().request(
            "POST" if request.body else "GET",
            self._url + request.path,
            data=request.body or None,
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": request.request_id,
                "X-Priority": str(request.priority),
            },
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=request.timeout_s, connect=_CONNECT_TIMEOUT_S
            ),
        )

    async def load(self) -> EngineLoad | Failure:
        """Asks for the load report."""
        try:
            async with self._client().get(
                self._url + "/load",
                timeout=aiohttp.ClientTimeout(total=_LOAD_TIMEOUT_S),
            ) as response:
                report = orjson.loads(await response.read())
            return EngineLoad(
                incarnation=str(report["incarnation"]),
                running=int(report["running"]),
                queued=int(report["queued"]),
                slots=int(report["slots"]),
                free_blocks=int(report["free_blocks"]),
                version=str(report["version"]),
                added=tuple(report["added"]),
                evicted=tuple(report["evicted"]),
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(ResultCode.ENDPOINT_REFUSED, type(error).__name__)
        except (ValueError, KeyError, TypeError) as error:
            return Failure(ResultCode.ENDPOINT_BAD_ANSWER, str(error))

    async def order(self, order: EngineOrder) -> Failure | None:
        """Gives an order and waits until it is carried out."""
        try:
            async with self._client().post(
                self._url + "/orders",
                json={
                    "action": order.action,
                    "argument": order.argument,
                    "epoch": order.epoch,
                },
                timeout=aiohttp.ClientTimeout(total=order.timeout_s),
            ) as response:
                # An answer that breaks off says nothing.
                reason = await response.text(errors="replace")
                if response.status == 200:
                    return None
                code = (
                    ResultCode.STALE_EPOCH
                    if response.status == 409
                    else ResultCode.ORDER_FAILED
                )
                return Failure(code, reason)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(ResultCode.ORDER_FAILED, type(error).__name__)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            await asyncio.sleep(0)  # lets the transports finish closing
