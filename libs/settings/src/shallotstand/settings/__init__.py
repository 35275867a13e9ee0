"""Validated settings: option classes and a TOML loader."""
