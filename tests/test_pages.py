"""Guards against pages that say something else than the code."""

import pathlib
import re
import tomllib

import pytest
from shallotstand.core.failure import Failure
from shallotstand.objects.loader import make_catalog
from shallotstand.objects.records import read_document

from pages.reference import DOCS, RENDERERS_BY_PAGE, whole_page


@pytest.mark.parametrize("page", RENDERERS_BY_PAGE)
def test_page_matches_the_tables(page):
    assert (DOCS / page).read_text("utf-8") == whole_page(page)


def test_example_set_passes_the_check():
    text = (DOCS / "objects.md").read_text("utf-8")
    (example,) = re.findall(r"```toml\n(.*?)```", text, re.DOTALL)
    catalog = make_catalog(read_document(tomllib.loads(example), "temelna"))
    assert not isinstance(catalog, Failure), catalog
    assert len(catalog.accounts_by_name) == 8
    engines = {
        name: len(service.endpoints)
        for name, service in catalog.services_by_name.items()
        if service.kind == "model"
    }
    assert engines == {"plan-drafters": 5, "yard-desk": 4}


def test_links_between_pages_lead_somewhere():
    pages = [*DOCS.glob("*.md"), DOCS.parent / "README.md"]
    broken = [
        (page.name, link)
        for page in pages
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text("utf-8"))
        if page.name not in ("contributing.md", "design.md")
        and not pathlib.Path(page.parent / link).exists()
    ]
    assert broken == []
