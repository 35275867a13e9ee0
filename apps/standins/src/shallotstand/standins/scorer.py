"""A small stand-in for a service that scores samples."""

import hashlib

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw
from shallotstand.standins.plain import StandinPlainService, make_plain_app

_JSON = "application/json"


def score(prompt: str, text: str) -> float:
    """Returns a score from 0 to 1 that depends on both texts alone."""
    content = orjson.dumps([prompt, text])
    digest = hashlib.blake2b(content, digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def make_scorer_app(name: str, service: StandinPlainService) -> Sanic:
    """Returns the application of a scorer: a plain service that scores at /.

    The body is `{"prompt": text, "text": text}`, the answer
    `{"score": number}`.
    """
    app = make_plain_app(name, service)

    @app.post("/")
    async def score_sample(request: Request) -> HTTPResponse:
        service.headers_seen.update(
            header.lower() for header in request.headers
        )
        request_id = request.headers.get("x-request-id", "")
        service.run(request_id, "/", request.body)
        fields = orjson.loads(request.body)
        result = {"score": score(fields["prompt"], fields["text"])}
        return raw(orjson.dumps(result), content_type=_JSON)

    return app
