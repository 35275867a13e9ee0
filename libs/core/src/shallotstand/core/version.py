"""Version of the programs, sent to peers and shown by the `status` command."""

import importlib.metadata

VERSION = importlib.metadata.version("shallotstand-core")
