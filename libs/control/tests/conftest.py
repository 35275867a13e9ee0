"""Lets the tests of this folder import their shared module."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
