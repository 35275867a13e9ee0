"""A small stand-in for a service that scores samples."""

import hashlib

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw
from shallotstand.standins.plain import StandinPlainService, make_plain_app

_JSON = "application/json"


def score(text: str) -> float:
    """Returns a score from 0 to 1 that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def make_scorer_app(name: str, service: StandinPlainService) -> Sanic:
    """Returns the application of a scorer: a plain service with /score.

    The body is `{"samples": [text, ...]}`, the answer `{"scores": [...]}` in
    the same order.
    """
    app = make_plain_app(name, service)

    @app.post("/score")
    async def score_samples(request: Request) -> HTTPResponse:
        request_id = request.headers.get("x-request-id", "")
        service.run(request_id, "/score", request.body)
        scores = [score(str(text)) for text in request.json["samples"]]
        return raw(orjson.dumps({"scores": scores}), content_type=_JSON)

    return app
