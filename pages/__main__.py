"""Rewrites the pages that are made from the option tables."""

from pages.reference import DOCS, RENDERERS_BY_PAGE, whole_page


def main() -> None:
    """Writes every page."""
    for page in RENDERERS_BY_PAGE:
        (DOCS / page).write_text(whole_page(page), "utf-8")


if __name__ == "__main__":
    main()
