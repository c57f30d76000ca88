"""HTTP server and request helpers for the ASGI applications of the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import uvicorn

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


def serve(application: Application, host: str, port: int) -> None:
    """Serve `application` until SIGTERM or SIGINT."""
    config = uvicorn.Config(
        application,
        host=host,
        port=port,
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=10,
    )
    asyncio.run(uvicorn.Server(config).serve())


async def read_body(receive: Receive) -> bytes:
    """Return the complete body.

    Raises `ConnectionError` if the client disconnects before.
    """
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError("client disconnected before its request was complete")
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


def header(scope: Scope, name: str, default: str = "") -> str:
    """Return the value of a request header; `name` is in lower case."""
    encoded_name = name.encode()
    for key, value in scope["headers"]:
        if key == encoded_name:
            return value.decode("latin-1")
    return default


async def respond(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Send a complete response."""
    encoded_headers = [(name.encode(), value.encode()) for name, value in headers]
    encoded_headers.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": encoded_headers}
    )
    await send({"type": "http.response.body", "body": body})
