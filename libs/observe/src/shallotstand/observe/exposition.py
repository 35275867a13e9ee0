"""The HTTP endpoint from which monitoring systems scrape metrics."""

import orjson
from aiohttp import web
from shallotstand.core.failure import Failure
from shallotstand.observe.metrics import Metrics

_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


async def serve_metrics_if_configured(
    metrics: Metrics, address: tuple[str, int] | None
) -> web.AppRunner | None:
    """Serves `/metrics` at an address, if there is one."""
    if address is None:
        return None
    return await serve_metrics(metrics, *address)


async def serve_metrics(
    metrics: Metrics, host: str, port: int
) -> web.AppRunner:
    """Serves `/metrics` and the pages until the runner's `cleanup`."""

    async def handle_scrape(_: web.Request) -> web.Response:
        return web.Response(
            body=metrics.exposition(), headers={"Content-Type": _CONTENT_TYPE}
        )

    async def handle_page(request: web.Request) -> web.Response:
        page = metrics.pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        content = page(request.query)
        if isinstance(content, Failure):
            return web.Response(
                status=content.code_info.http_status,
                body=orjson.dumps(content.to_json()),
                content_type="application/json",
            )
        return web.Response(
            body=orjson.dumps(content), content_type="application/json"
        )

    app = web.Application()
    app.router.add_get("/metrics", handle_scrape)
    app.router.add_get("/{page}", handle_page)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
