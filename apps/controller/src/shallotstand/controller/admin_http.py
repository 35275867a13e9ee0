"""HTTP routes of the administration API; the logic is in the admin modules."""

import hmac
import time
from collections.abc import Iterable
from typing import Any

import orjson
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, raw
from shallotstand.controller.admin_drain import drain
from shallotstand.controller.admin_keys import KeyManager
from shallotstand.controller.admin_quarantine import (
    list_quarantine,
    release_request,
)
from shallotstand.controller.admin_reports import read_burn, read_usage
from shallotstand.controller.admin_sets import (
    CONFIRM_TIMEOUT_S,
    PublishContext,
    check_set,
    diff_set,
    publish_set,
)
from shallotstand.controller.admin_status import read_status
from shallotstand.controller.controller import Controller
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.keys import hash_key
from shallotstand.objects.records import SetFile
from shallotstand.platform.protocols import ObjectStore

_JSON = "application/json"
_BEARER = "bearer "
# A publication may take long to store and then waits up to 12 s for entries.
_RESPONSE_TIMEOUT_S = 60


def make_admin_app(
    controller: Controller,
    store: ObjectStore,
    key_hashes: Iterable[str],
    name: str = "shallotstand-admin",
    confirm_timeout_s: float = CONFIRM_TIMEOUT_S,
) -> Sanic:
    """Returns the Sanic application of the administration API.

    Args:
      controller: The running controller.
      store: The platform's object API.
      key_hashes: Hashes of the operators' keys.
      name: Name of the application, unique in the process.
      confirm_timeout_s: Seconds to wait after a publication until a majority
        of the entries uses it.
    """
    app = Sanic(name, configure_logging=False)
    # TOUCHUP makes Sanic rewrite its own methods, which fails when a process
    # has more than one application.
    app.config.TOUCHUP = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    app.config.RESPONSE_TIMEOUT = _RESPONSE_TIMEOUT_S
    context = PublishContext(store, controller.confirmations, confirm_timeout_s)
    key_manager = KeyManager(context, controller.config_keeper, controller.sync)
    _add_middleware(app, tuple(key_hashes))
    _add_set_routes(app, context)
    _add_key_routes(app, key_manager)
    _add_operation_routes(app, controller, store)
    return app


def is_admin_key(secret: str, hashes: Iterable[str]) -> bool:
    """Returns whether a key's hash is listed; compares in constant time."""
    presented = hash_key(secret)
    # Every hash is compared, so that the duration does not reveal which hash
    # matches.
    matches = [
        key_hash
        for key_hash in hashes
        if hmac.compare_digest(presented, key_hash)
    ]
    return bool(matches)


def _add_middleware(app: Sanic, key_hashes: tuple[str, ...]) -> None:
    @app.on_request
    async def authenticate(request: Request) -> HTTPResponse | None:
        value = request.headers.get("authorization", "")
        is_bearer = value[: len(_BEARER)].lower() == _BEARER
        secret = value[len(_BEARER) :].strip() if is_bearer else ""
        if secret and is_admin_key(secret, key_hashes):
            return None
        return _respond(
            Failure(
                ResultCode.ADMIN_KEY_WRONG, "Send an operator's bearer key."
            )
        )

    @app.exception(SanicException)
    async def handle_sanic_error(
        _: Request, error: SanicException
    ) -> HTTPResponse:
        code = (
            ResultCode.ROUTE_UNKNOWN
            if error.status_code == 404
            else ResultCode.BAD_REQUEST
        )
        return _respond(Failure(code, str(error)))

    @app.exception(Exception)
    async def handle_unexpected_error(
        _: Request, error: Exception
    ) -> HTTPResponse:
        return _respond(Failure(ResultCode.INTERNAL, type(error).__name__))


def _add_set_routes(app: Sanic, context: PublishContext) -> None:
    @app.post("/admin/check")
    async def check(request: Request) -> HTTPResponse:
        files = _parse_files(_parse_fields(request))
        if isinstance(files, Failure):
            return _respond(files)
        return _respond(check_set(files))

    @app.post("/admin/diff")
    async def diff(request: Request) -> HTTPResponse:
        files = _parse_files(_parse_fields(request))
        if isinstance(files, Failure):
            return _respond(files)
        return _respond(await diff_set(context, files))

    @app.post("/admin/publish")
    async def publish(request: Request) -> HTTPResponse:
        fields = _parse_fields(request)
        files = _parse_files(fields)
        if isinstance(files, Failure):
            return _respond(files)
        base = fields.get("base")
        if not isinstance(base, int) or isinstance(base, bool) or base < 0:
            return _bad_request(
                "base must be the number of the revision that the set is based "
                "on."
            )
        return _respond(await publish_set(context, files, base))


def _add_key_routes(app: Sanic, key_manager: KeyManager) -> None:
    @app.get("/admin/keys")
    async def list_keys(_: Request) -> HTTPResponse:
        return _respond(key_manager.list())

    @app.post("/admin/keys")
    async def grant(request: Request) -> HTTPResponse:
        fields = _parse_fields(request)
        if isinstance(fields, Failure):
            return _respond(fields)
        name, account = fields.get("name"), fields.get("account")
        if not isinstance(name, str) or not isinstance(account, str):
            return _bad_request("name and account must be strings.")
        return _respond(await key_manager.grant(name, account))

    @app.delete("/admin/keys/<name:str>")
    async def withdraw(_: Request, name: str) -> HTTPResponse:
        return _respond(await key_manager.withdraw(name))


def _add_operation_routes(
    app: Sanic, controller: Controller, store: ObjectStore
) -> None:
    @app.get("/admin/status")
    async def status(_: Request) -> HTTPResponse:
        return _respond(read_status(controller))

    @app.post("/admin/drain/<name:str>")
    async def drain_target(_: Request, name: str) -> HTTPResponse:
        return _respond(await drain(controller, name))

    @app.get("/admin/quarantine")
    async def quarantine(_: Request) -> HTTPResponse:
        return _respond(list_quarantine(controller))

    @app.delete("/admin/quarantine/<fingerprint:str>")
    async def release(_: Request, fingerprint: str) -> HTTPResponse:
        return _respond(release_request(controller, fingerprint))

    @app.get("/admin/usage/<account:str>/<window:int>")
    async def usage(_: Request, account: str, window: int) -> HTTPResponse:
        return _respond(await read_usage(store, account, window))

    @app.get("/admin/burn")
    async def burn(_: Request) -> HTTPResponse:
        now = int(time.time())
        return _respond(await read_burn(store, controller.catalog, now))


def _parse_fields(request: Request) -> dict[str, Any] | Failure:
    try:
        fields = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        return Failure(
            ResultCode.BAD_REQUEST, f"The body is not JSON: {error}."
        )
    if not isinstance(fields, dict):
        return Failure(ResultCode.BAD_REQUEST, "The body is not a JSON object.")
    return fields


def _parse_files(fields: dict[str, Any] | Failure) -> list[SetFile] | Failure:
    if isinstance(fields, Failure):
        return fields
    files = fields.get("files")
    if not isinstance(files, list) or not all(map(_is_file, files)):
        return Failure(
            ResultCode.BAD_REQUEST, "files must be a list of {name, text}."
        )
    return [SetFile(file["name"], file["text"]) for file in files]


def _is_file(file: Any) -> bool:
    return (
        isinstance(file, dict)
        and isinstance(file.get("name"), str)
        and isinstance(file.get("text"), str)
    )


def _bad_request(reason: str) -> HTTPResponse:
    return _respond(Failure(ResultCode.BAD_REQUEST, reason))


def _respond(result: Any) -> HTTPResponse:
    if not isinstance(result, Failure):
        return raw(orjson.dumps(result), content_type=_JSON)
    return raw(
        orjson.dumps(result.to_json()),
        status=result.code_info.http_status,
        headers={"X-Result-Code": str(int(result.code))},
        content_type=_JSON,
    )
