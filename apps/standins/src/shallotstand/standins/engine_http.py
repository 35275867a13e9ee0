"""OpenAI-compatible HTTP front of the stand-in engine."""

import asyncio

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, json, raw, text
from shallotstand.standins.engine import StandinEngine, Token

_DEFAULT_MAX_TOKENS = 16
_STATUS_BY_RESULT = {"": 200, "stale": 409, "failed": 500}


def make_engine_app(name: str, model: str, engine: StandinEngine) -> Sanic:
    """Returns the application of one engine.

    Args:
      name: Name of the application, unique in the process.
      model: Model that the answers name.
      engine: The engine.
    """
    app = Sanic(name, configure_logging=False)
    # Sanic rewrites its own methods once a process; several apps live here.
    app.config.TOUCHUP = False

    connections: set[asyncio.Transport] = set()

    def drop_connections() -> None:
        for transport in tuple(connections):
            transport.abort()
        connections.clear()

    engine.on_crash.append(drop_connections)

    @app.on_request
    async def note_connection(request: Request) -> HTTPResponse | None:
        if engine.is_crashed and request.path != "/restart":
            request.transport.abort()
            return text("")
        closed = {held for held in connections if held.is_closing()}
        connections.difference_update(closed)
        connections.add(request.transport)
        return None

    @app.post("/restart")
    async def restart(_: Request) -> HTTPResponse:
        engine.restart()
        return text("")

    @app.post("/v1/completions")
    async def complete(request: Request) -> HTTPResponse | None:
        engine.headers_seen.update(header.lower() for header in request.headers)
        fields = request.json
        tokens = engine.generate(
            request.headers.get("x-request-id", ""),
            str(fields["prompt"]),
            int(fields.get("max_tokens", _DEFAULT_MAX_TOKENS)),
            int(request.headers.get("x-priority", 0)),
        )
        response = await request.respond(content_type="text/event-stream")
        count = 0
        try:
            async for token in tokens:
                count += 1
                await response.send(_event(model, token, ""))
            if request.transport.is_closing():
                return
            last = _event(model, Token("", engine.version), "length")
            await response.send(last)
            await response.send(_usage(model, str(fields["prompt"]), count))
            await response.send(b"data: [DONE]\n\n")
            await response.eof()
        finally:
            await tokens.aclose()

    @app.get("/load")
    async def load(_: Request) -> HTTPResponse:
        return raw(orjson.dumps(engine.load()), content_type="application/json")

    @app.post("/orders")
    async def order(request: Request) -> HTTPResponse:
        fields = request.json
        result = engine.order(
            fields["action"], fields["argument"], fields["epoch"]
        )
        return text(result, status=_STATUS_BY_RESULT[result])

    @app.get("/record")
    async def record(_: Request) -> HTTPResponse:
        return json(
            {
                "runs": [run._asdict() for run in engine.runs],
                "headers": sorted(engine.headers_seen),
            }
        )

    return app


def _event(model: str, token: Token, finish_reason: str) -> bytes:
    return _sse(
        {
            "object": "text_completion",
            "model": model,
            "system_fingerprint": token.version,
            "choices": [
                {
                    "index": 0,
                    "text": token.text,
                    "finish_reason": finish_reason or None,
                }
            ],
        }
    )


def _usage(model: str, prompt: str, count: int) -> bytes:
    prompt_tokens = max(1, len(prompt) // 4)
    return _sse(
        {
            "object": "text_completion",
            "model": model,
            "choices": [],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": count,
                "total_tokens": prompt_tokens + count,
            },
        }
    )


def _sse(event: dict) -> bytes:
    return b"data: " + orjson.dumps(event) + b"\n\n"
