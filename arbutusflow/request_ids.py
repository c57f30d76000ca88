"""Creates identifiers of requests: UUIDs of version 7, RFC 9562.

Invariant: the time of an identifier is the millisecond of the clock when it was
created, at any rate. Instances refuse identifiers that are ahead of their clock, so
identifiers of one millisecond differ only by their random bits and are not ordered.
"""

import secrets
import time
import uuid

_VERSION_AND_VARIANT = 7 << 76 | 0b10 << 62


def new_request_id() -> str:
    """Return a new identifier in canonical form."""
    created_ms = time.time_ns() // 1_000_000
    random_bits = secrets.randbits(12) << 64 | secrets.randbits(62)
    return str(uuid.UUID(int=created_ms << 80 | _VERSION_AND_VARIANT | random_bits))
