"""Pages of docs/ that are made from the code."""
