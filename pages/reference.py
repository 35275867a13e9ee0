"""Renders the reference pages from the option tables."""

import pathlib
from collections.abc import Iterable

from shallotstand.adapter.settings import TABLE as PLATFORM
from shallotstand.controller.settings import TABLE as CONTROLLER
from shallotstand.entry.settings import TABLE as ENTRY
from shallotstand.load.settings import TABLE as LOAD
from shallotstand.objects.tables import KINDS_BY_NAME
from shallotstand.settings.loader import render_reference
from shallotstand.settings.options import Table
from shallotstand.sidecar.settings import TABLE as SIDECAR
from shallotstand.standins.settings import TABLE as STANDINS

DOCS = pathlib.Path(__file__).parents[1] / "docs"
MARKER = "<!-- The rest of this page is made by `make pages`. -->\n"
_HEADER = "| name | accepts | default | meaning |\n|---|---|---|---|\n"
_PROGRAMS = (
    ("shallotstand-entry", ENTRY),
    ("shallotstand-sidecar", SIDECAR),
    ("shallotstand-controller", CONTROLLER),
    ("shallotstand-gateway, shallotstand-keeper", PLATFORM),
    ("shallotstand-load", LOAD),
    ("shallotstand-standins", STANDINS),
)


def render_settings() -> str:
    """Returns the made part of docs/settings.md."""
    return _sections(_PROGRAMS)


def render_objects() -> str:
    """Returns the made part of docs/objects.md."""
    return _sections(
        (f"[[{kind.name}]]", kind.table) for kind in KINDS_BY_NAME.values()
    )


RENDERERS_BY_PAGE = {
    "settings.md": render_settings,
    "objects.md": render_objects,
}


def written_part(page: str) -> str:
    """Returns what people wrote of a page, the marker included."""
    text = (DOCS / page).read_text("utf-8")
    return text[: text.index(MARKER) + len(MARKER)]


def whole_page(page: str) -> str:
    """Returns a page as it should be."""
    return written_part(page) + RENDERERS_BY_PAGE[page]()


def _sections(tables: Iterable[tuple[str, Table]]) -> str:
    return "".join(
        f"\n## {name}\n\n{_HEADER}{render_reference(table)}"
        for name, table in tables
    )
