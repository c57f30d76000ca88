"""HTTP client for the admin address of one entry instance, used by the CLI.

Invariant: a change that was sent but got no response is reported as unknown, never
as applied or refused.
"""

import http.client
import socket
import urllib.parse
from typing import Self, TypeVar

import msgspec

from arbutusflow.adapters.admin_messages import ErrorResponse
from arbutusflow.adapters.settings import Address
from arbutusflow.errors import (
    InstanceUnreachableError,
    OutcomeUnknownError,
    RefusedError,
)

ResponseBody = TypeVar("ResponseBody")

CONNECT_TIMEOUT_SECONDS = 2.0
# An instance attempts a patch up to 10 times. Each attempt takes up to two platform
# calls of 2 s and a delay of 0.3 s.
RESPONSE_TIMEOUT_SECONDS = 45.0
CHANGE_RESULT_STATUSES = frozenset({200, 202, 409, 422})


class AdminClient:
    """Sends requests to one admin address."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._label = f"{address.host}:{address.port}"

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Return a client for `host:port`; raise `SettingsError` if it is malformed."""
        return cls(Address.from_text(text))

    def get(
        self, path: str, body_type: type[ResponseBody], **query: str
    ) -> ResponseBody:
        """Return the decoded response; raise `RefusedError` unless it is 200."""
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        status, body = self._call("GET", path, b"")
        if status != 200:
            raise RefusedError(self._error_message(status, body))
        return self._decode(body, body_type)

    def post(self, path: str, value: object) -> tuple[int, bytes]:
        """Send `value` as JSON and return the status and body of the response."""
        return self._call("POST", path, msgspec.json.encode(value))

    def change(
        self, path: str, value: object, body_type: type[ResponseBody]
    ) -> ResponseBody:
        """Request a change and return its result.

        Responses with a status in `CHANGE_RESULT_STATUSES` are decoded as `body_type`;
        other statuses raise.
        """
        status, body = self.post(path, value)
        if status in CHANGE_RESULT_STATUSES:
            try:
                return self._decode(body, body_type)
            except RefusedError as exc:
                raise OutcomeUnknownError(
                    f"{exc}; the change may have taken effect"
                ) from exc
        if status == 504:
            raise OutcomeUnknownError(self._error_message(status, body))
        raise RefusedError(self._error_message(status, body))

    def _call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        host, port = self._address.host, self._address.port
        conn = http.client.HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_SECONDS)
        try:
            conn.connect()
        except (OSError, UnicodeError) as exc:
            raise InstanceUnreachableError(
                f"no entry instance is reachable at {self._label} ({exc}); pass the "
                "admin address of a running instance with --admin or ARBUTUSFLOW_ADMIN"
            ) from exc
        try:
            assert isinstance(conn.sock, socket.socket)
            conn.sock.settimeout(RESPONSE_TIMEOUT_SECONDS)
            conn.request(method, path, body, {"Content-Type": "application/json"})
            response = conn.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as exc:
            if method == "GET":
                raise InstanceUnreachableError(
                    f"{self._label} did not respond ({exc}); try another instance"
                ) from exc
            raise OutcomeUnknownError(
                f"{self._label} did not respond ({exc or type(exc).__name__}); the "
                "change may have taken effect"
            ) from exc
        finally:
            conn.close()

    def _decode(self, body: bytes, body_type: type[ResponseBody]) -> ResponseBody:
        try:
            return msgspec.json.decode(body, type=body_type)
        except msgspec.MsgspecError as exc:
            raise RefusedError(
                f"{self._label} sent a response that this version cannot decode "
                f"({exc}); check that it is an admin address of this version"
            ) from exc

    def _error_message(self, status: int, body: bytes) -> str:
        try:
            return msgspec.json.decode(body, type=ErrorResponse).error
        except msgspec.MsgspecError:
            return (
                f"{self._label} responded with status {status}; check that it is an "
                "admin address"
            )
