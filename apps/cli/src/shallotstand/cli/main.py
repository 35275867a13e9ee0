"""The operators' command."""

from collections.abc import Callable
from typing import Annotated, Any

import cappa
from shallotstand.cli import acts, log_trace, placement
from shallotstand.cli.client import Server
from shallotstand.cli.output import (
    finish,
    progress,
    render_fields,
    render_rows,
    render_status,
)
from shallotstand.core.failure import Failure
from shallotstand.observe.burn_report import burns_from_json, render_burn_table

Url = Annotated[
    str,
    cappa.Arg(
        long="--server",
        default=cappa.Env("SHALLOTSTAND_SERVER", default=""),
        help="Address of the administration API.",
    ),
]
KeyFile = Annotated[
    str,
    cappa.Arg(
        long="--key-file",
        default=cappa.Env("SHALLOTSTAND_KEY_FILE", default=""),
        help="File with the operator's key.",
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON for scripts.")]
Files = Annotated[
    list[str], cappa.Arg(help="TOML files, or directories of them.")
]


def _example(line: str) -> str:
    return f"Example: shallotstand {line}"


@cappa.command(name="check", description=_example("check objects/"))
def check(files: Files, json: Json = False) -> None:
    """Checks a set of objects; needs no server."""
    finish(acts.check(files), json, render_fields)


@cappa.command(
    name="diff",
    description=_example("diff objects/ --server http://127.0.0.1:7400"),
)
def diff(
    files: Files, server: Url, key_file: KeyFile, json: Json = False
) -> None:
    """Compares a set of objects with the published one."""
    result = acts.diff(Server(server, key_file), files)
    finish(result, json, lambda r: f"base {r['base']}\n{r['text']}")


@cappa.command(
    name="publish", description=_example("publish objects/ --base 41")
)
def publish(
    files: Files,
    server: Url,
    key_file: KeyFile,
    base: Annotated[
        int, cappa.Arg(long=True, help="Revision that `diff` named.")
    ],
    json: Json = False,
) -> None:
    """Publishes a set and waits until a majority of entries serves by it."""
    made = acts.publish(Server(server, key_file), files, base, progress)
    finish(made, json, render_fields)


@cappa.command(name="status", description=_example("status --json"))
def status(server: Url, key_file: KeyFile, json: Json = False) -> None:
    """Shows processes, endpoints and scopes."""
    finish(acts.status(Server(server, key_file)), json, render_status)


@cappa.command(
    name="grant", description=_example("keys grant trainer-2 trainer")
)
def keys_grant(
    name: Annotated[str, cappa.Arg(help="Name of the new key.")],
    account: Annotated[str, cappa.Arg(help="Client account.")],
    server: Url,
    key_file: KeyFile,
    json: Json = False,
) -> None:
    """Makes a key and prints its secret, which is stored nowhere."""
    granted = acts.grant_key(Server(server, key_file), name, account, progress)
    finish(granted, json, render_fields)


@cappa.command(name="withdraw", description=_example("keys withdraw trainer-1"))
def keys_withdraw(
    name: Annotated[str, cappa.Arg(help="Name of the key.")],
    server: Url,
    key_file: KeyFile,
    json: Json = False,
) -> None:
    """Withdraws a key, also while the store is down."""
    withdrawn = acts.withdraw_key(Server(server, key_file), name)
    finish(withdrawn, json, render_fields)


@cappa.command(name="list", description=_example("keys list"))
def keys_list(server: Url, key_file: KeyFile, json: Json = False) -> None:
    """Lists the keys in force, without secrets."""
    finish(acts.list_keys(Server(server, key_file)), json, render_rows)


@cappa.command(name="drain", description=_example("drain engine-7"))
def drain(
    name: Annotated[str, cappa.Arg(help="Endpoint or instance.")],
    server: Url,
    key_file: KeyFile,
    json: Json = False,
) -> None:
    """Gives no new work to an endpoint or to an instance."""
    finish(acts.drain(Server(server, key_file), name), json, render_fields)


@cappa.command(name="list", description=_example("quarantine list"))
def quarantine_list(server: Url, key_file: KeyFile, json: Json = False) -> None:
    """Lists the requests that are refused since they crashed endpoints."""
    finish(acts.list_quarantine(Server(server, key_file)), json, render_rows)


@cappa.command(name="release", description=_example("quarantine release 6f0a"))
def quarantine_release(
    fingerprint: Annotated[str, cappa.Arg(help="Fingerprint from the list.")],
    server: Url,
    key_file: KeyFile,
    json: Json = False,
) -> None:
    """Lets a quarantined request run again."""
    released = acts.release(Server(server, key_file), fingerprint)
    finish(released, json, render_fields)


@cappa.command(name="usage", description=_example("usage trainer 1800000000"))
def usage(
    account: Annotated[str, cappa.Arg(help="Client account.")],
    window: Annotated[
        int, cappa.Arg(help="Start of the window, seconds since 1970.")
    ],
    server: Url,
    key_file: KeyFile,
    json: Json = False,
) -> None:
    """Shows the usage report of a client account and window."""
    report = acts.read_usage(Server(server, key_file), account, window)
    finish(report, json, render_fields)


@cappa.command(
    name="burn", description=_example("report burn --html burn.html")
)
def report_burn(
    server: Url,
    key_file: KeyFile,
    html: Annotated[
        str, cappa.Arg(long=True, help="Also write an HTML page here.")
    ] = "",
    json: Json = False,
) -> None:
    """Shows how fast the objectives use up their error budgets."""
    burns = acts.read_burn(Server(server, key_file))
    if html and not isinstance(burns, Failure):
        # Matplotlib takes long to import; no other command needs it.
        from shallotstand.cli.burn_html import render_html

        failure = acts.write_page(html, render_html(burns))
        burns = burns if failure is None else failure
    finish(burns, json, lambda rows: render_burn_table(burns_from_json(rows)))


@cappa.command(
    name="trace", description=_example("trace 9c41d07be2a35f68 *.log")
)
def trace_request(
    wanted: Annotated[
        str, cappa.Arg(help="Identifier of a request, batch or item.")
    ],
    files: Annotated[list[str], cappa.Arg(help="Logs of the processes.")],
    json: Json = False,
) -> None:
    """Follows one identifier through the logs of several processes."""
    lines = log_trace.read_logs(files)
    if not isinstance(lines, Failure):
        lines = log_trace.trace(lines, wanted)
    if isinstance(lines, Failure):
        finish(lines, json, render_fields)
        return
    finish(
        {"lines": [line._asdict() for line in lines]},
        json,
        lambda _: log_trace.render_trace(lines),
    )


@cappa.command(name="summary", description=_example("summary *.log"))
def summarise_logs(
    files: Annotated[list[str], cappa.Arg(help="Logs of the processes.")],
    json: Json = False,
) -> None:
    """Counts what the logs of several processes tell, by cause."""
    lines = log_trace.read_logs(files)
    if not isinstance(lines, Failure):
        lines = {"causes": log_trace.summarise(lines)}
    finish(lines, json, lambda result: render_rows(result["causes"]))


@cappa.command(
    name="where",
    description=_example(
        "where quotes.example /quote/1 --metrics 127.0.0.1:9464"
    ),
)
def where(
    host: Annotated[str, cappa.Arg(help="Host of the request.")],
    path: Annotated[str, cappa.Arg(help="Path of the request.")],
    metrics: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("SHALLOTSTAND_METRICS", default=""),
            help="Metrics address of the gateway that is asked.",
        ),
    ],
    account: Annotated[str, cappa.Arg(long=True, help="Client account.")] = "",
    size: Annotated[
        int, cappa.Arg(long=True, help="Bytes of the content.")
    ] = 0,
    model: Annotated[
        str, cappa.Arg(long=True, help="Model of a batch item.")
    ] = "",
    min_version: Annotated[
        int, cappa.Arg(long=True, help="Oldest weights that the item accepts.")
    ] = 0,
    json: Json = False,
) -> None:
    """Explains where a request or batch item would go now; sends nothing."""
    report = placement.ask_gateway(
        metrics,
        {
            "host": host,
            "path": path,
            "account": account,
            "size": str(size),
            "model": model,
            "min_version": str(min_version),
        },
    )
    finish(report, json, placement.render_report)


def _group(name: str, meaning: str, *members: Callable) -> Callable:
    """Returns a command that has subcommands."""
    collected = map(cappa.collect, members)
    options = {member.real_name(): member for member in collected}

    @cappa.command(name=name, help=meaning)
    def choose(
        command: Annotated[Any, cappa.Subcommand(options=options)],
    ) -> None:
        del command

    return choose


COMMAND = _group(
    "shallotstand",
    "Operates a shallotstand deployment.",
    check,
    diff,
    publish,
    status,
    _group("keys", "Callers' keys.", keys_grant, keys_withdraw, keys_list),
    drain,
    _group(
        "quarantine",
        "Requests that crash endpoints.",
        quarantine_list,
        quarantine_release,
    ),
    usage,
    trace_request,
    summarise_logs,
    where,
    _group("report", "Reports.", report_burn),
)


def main() -> None:
    """Parses the command line and runs the command."""
    cappa.invoke(COMMAND)


if __name__ == "__main__":
    main()
