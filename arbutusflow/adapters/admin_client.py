"""Client of the admin address of one entry instance, for the command line.

Invariant: a change that was sent but not answered is reported as unknown, never
as done or refused.
"""

import http.client
import socket
import urllib.parse
from typing import Self, TypeVar

import msgspec

from arbutusflow.adapters.admin_messages import Refusal
from arbutusflow.adapters.settings import Address
from arbutusflow.domain.errors import (
    AdminUnreachableError,
    OutcomeUnknownError,
    RefusedError,
)

Answer = TypeVar("Answer")

CONNECT_TIMEOUT_SECONDS = 2.0
# An instance tries a patch 10 times; each try takes up to two platform calls of
# 2 s and a pause of 0.3 s.
ANSWER_TIMEOUT_SECONDS = 45.0
RESULTS = frozenset({200, 202, 409, 422})


class AdminClient:
    """Requests to one admin address."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._name = f"{address.host}:{address.port}"

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Return a client of `host:port`; `SettingsError` if it is malformed."""
        return cls(Address.from_text(text))

    def get(self, path: str, kind: type[Answer], **query: str) -> Answer:
        """Return the answer of a page; `RefusedError` unless its status is 200."""
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        status, body = self._call("GET", path, b"")
        if status != 200:
            raise RefusedError(self._error_of(status, body))
        return self._decode(body, kind)

    def post(self, path: str, value: object) -> tuple[int, bytes]:
        """Send `value` as JSON and return the status and the body of the answer."""
        return self._call("POST", path, msgspec.json.encode(value))

    def change(self, path: str, value: object, kind: type[Answer]) -> Answer:
        """Ask for a change; the statuses in `RESULTS` carry a `kind`."""
        status, body = self.post(path, value)
        if status in RESULTS:
            try:
                return self._decode(body, kind)
            except RefusedError as exc:
                raise OutcomeUnknownError(f"{exc}; the change may be done") from exc
        if status == 504:
            raise OutcomeUnknownError(self._error_of(status, body))
        raise RefusedError(self._error_of(status, body))

    def _call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        host, port = self._address.host, self._address.port
        conn = http.client.HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_SECONDS)
        try:
            conn.connect()
        except (OSError, UnicodeError) as exc:
            raise AdminUnreachableError(
                f"no entry instance answers at {self._name} ({exc}); name the admin "
                "address of a running one with --admin or ARBUTUSFLOW_ADMIN"
            ) from exc
        try:
            assert isinstance(conn.sock, socket.socket)
            conn.sock.settimeout(ANSWER_TIMEOUT_SECONDS)
            conn.request(method, path, body, {"Content-Type": "application/json"})
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as exc:
            if method == "GET":
                raise AdminUnreachableError(
                    f"{self._name} did not answer ({exc}); ask another instance"
                ) from exc
            raise OutcomeUnknownError(
                f"{self._name} did not answer ({exc or type(exc).__name__}); the "
                "change may have taken effect"
            ) from exc
        finally:
            conn.close()

    def _decode(self, body: bytes, kind: type[Answer]) -> Answer:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as exc:
            raise RefusedError(
                f"{self._name} sent an answer that this version does not know ({exc}); "
                "name an admin address, and use the version that runs there"
            ) from exc

    def _error_of(self, status: int, body: bytes) -> str:
        try:
            return msgspec.json.decode(body, type=Refusal).error
        except msgspec.MsgspecError:
            return f"{self._name} answered with status {status}; name an admin address"
