"""Guards against a page that needs other files or runs foreign markup."""

import re

from shallotstand.cli.burn_html import render_html

BURN = {
    "service": "a<script>",
    "account": "",
    "target": 0.99,
    "budget_left": 0.5,
    "alerts": ["page"],
    "windows": [
        {"window": "5m", "rate": 20.0, "counted": 1.0},
        {"window": "1h", "rate": None, "counted": 0.5},
    ],
}


def test_page_is_self_contained_and_escaped():
    page = render_html([BURN])
    assert "<svg" in page
    assert "a<script>" not in page
    assert not re.search(r'(src|href)="(?!#)', page)
    assert "1h*" in page
    assert render_html([BURN]) == page


def test_page_without_objectives_says_so():
    assert "No objectives" in render_html([])
