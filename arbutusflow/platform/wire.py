"""Header names and paths of the platform, and codecs for small values."""

import dataclasses
import email.utils
import re

import msgspec

from arbutusflow.gateway.model import MAX_SHOWN_CHARACTERS

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
SIGNATURE = b"response-seal"  # Signature of an endpoint over its response.
EXPECTED_ENDPOINT = b"expect-instance"  # The platform's "instance" is an endpoint here.
ENDPOINT_ID = b"instance-id"
ENDPOINT_LOAD = b"instance-load"
NOT_RUN = b"not-executed"
KEY = b"shard-key"
HANDOVER = b"handover"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
COLD_LEFT = b"cold-ms"
STORE_ERA = b"store-era"

READINESS_PATH = b"/arbutusflow/ready"
GRANT_PATH = b"/arbutusflow/grant"
RELEASE_PATH = b"/arbutusflow/release"


MAX_REPORTED_REQUESTS = 100_000  # No endpoint has so many; a larger figure is no load.
# Percent of the usual time that work may take; a larger figure is no measurement.
MAX_REPORTED_PERCENT = 10_000


_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")


def check_header_text(text: str) -> str:
    """Return text that a header carries unchanged. Raises ValueError for other text.

    A line end would end the header, and spaces at the ends would be lost.
    """
    if not text or text != text.strip() or _CONTROL_CHARACTER.search(text):
        raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} cannot stand in a header")
    return text


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an endpoint, as it reports it in a response."""

    running: int
    waiting: int
    slots: int
    # How long work takes on the host of the endpoint at this moment, as a multiple of
    # the usual time.
    slowdown: float = 1.0

    @classmethod
    def parse(cls, text: bytes | None) -> "ReportedLoad | None":
        """Decode the load header; return None if it is missing or malformed."""
        if text is None:
            return None
        parts = text.split(b",")
        if len(parts) not in (3, 4):
            return None
        try:
            running, waiting, slots = (int(part) for part in parts[:3])
            percent = float(parts[3]) if len(parts) == 4 else 100.0
        except ValueError:
            return None
        if min(running, waiting, slots) < 0:
            return None
        if max(running, waiting, slots) > MAX_REPORTED_REQUESTS:
            return None
        if not 1 <= percent <= MAX_REPORTED_PERCENT:
            return None
        return cls(running, waiting, slots, percent / 100)


def parse_deadline(text: bytes) -> float | None:
    """Return the deadline in seconds, or None if it is not a positive number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value / 1000 if 0 < value < 1e9 else None


MAX_WAIT_SECONDS = 86_400.0  # Longer waits end after this time.
_SECONDS = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def parse_leaving(text: bytes | None) -> bool:
    """Return whether an endpoint says that it leaves; only "1" does."""
    return text is not None and text.strip() == b"1"


# Fencing tokens of an era start at the era times 2**32 and fit 53 bits.
MAX_ERA = 2**20
_ERA = re.compile(rb"\d{1,7}")


def parse_era(text: bytes | None) -> int | None:
    """Return the era of an answer of the store; None if it is malformed.

    A store without eras stays in era 0.
    """
    if text is None:
        return 0
    text = text.strip()
    era = int(text) if _ERA.fullmatch(text) else MAX_ERA + 1
    return era if era <= MAX_ERA else None


def parse_wait(text: bytes | None, time_of_day: float) -> float | None:
    """Return for how many seconds an endpoint wants no requests.

    The value is a number of seconds, which may have a fraction, or a date, which is
    compared with the time of day (seconds since the epoch). Returns None if it is
    neither.
    """
    if text is None:
        return None
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return min(float(text), MAX_WAIT_SECONDS)
    try:
        date = email.utils.parsedate_to_datetime(text.decode("ascii"))
        return min(max(0.0, date.timestamp() - time_of_day), MAX_WAIT_SECONDS)
    except (ValueError, OverflowError):
        return None


def parse_cold_left(text: bytes | None) -> float | None:
    """Return for how many seconds an endpoint is cold; None if it does not say."""
    if text is None or not _SECONDS.fullmatch(text.strip()):
        return None
    return min(float(text) / 1000, MAX_WAIT_SECONDS)


def format_deadline(seconds: float) -> bytes:
    """Encode the remaining time, rounded down to whole milliseconds."""
    return b"%d" % max(1, int(seconds * 1000))


def parse_key(text: bytes | None) -> int | None:
    """Return the key of a request, or None if it is missing or invalid."""
    if text is None or not text.isdigit() or len(text) > 5:
        return None
    key = int(text)
    return key if key < 65536 else None


class _Grant(msgspec.Struct, omit_defaults=True):
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="to")
    token: int = msgspec.field(name="fence")
    lease_seconds: float = msgspec.field(name="holdS")
    handover: str = ""


class _Release(msgspec.Struct):
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="to")
    token: int = msgspec.field(name="fence")


_encoder = msgspec.json.Encoder()


def encode_grant(
    first: int, last: int, token: int, lease_seconds: float, handover: str
) -> bytes:
    """Encode the request that grants an endpoint a lease on a range of keys."""
    return _encoder.encode(_Grant(first, last, token, lease_seconds, handover))


def encode_release(first: int, last: int, token: int) -> bytes:
    """Encode the request that makes an endpoint release a range of keys."""
    return _encoder.encode(_Release(first, last, token))
