"""Identity of a request's content, which its repetitions share."""

import hashlib

from shallotstand.dispatch.endpoint_client import EndpointRequest

FINGERPRINT_BYTES = 16


def fingerprint(endpoint_request: EndpointRequest) -> bytes:
    """Returns a hash that is equal for requests that ask for the same.

    It does not depend on the identifier of a request, which is new each time
    that a caller sends it.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        endpoint_request.method.encode(),
        endpoint_request.host.encode(),
        endpoint_request.target.encode("utf-8", "surrogateescape"),
        (endpoint_request.account or "").encode(),
        endpoint_request.body,
    ):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()
