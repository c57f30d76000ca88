"""Fake transport, socket and event log for tests without I/O."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.gateway.model import StorePoint
from arbutusflow.platform.store import StoreEra


class FakeSocket:
    """Records socket options."""

    def __init__(self) -> None:
        self.options: dict[tuple[int, int], Any] = {}

    def fileno(self) -> int:
        return -1

    def setsockopt(self, level: int, name: int, value: Any) -> None:
        self.options[level, name] = value


class FakeTransport(asyncio.Transport):
    """Records the bytes that are written."""

    def __init__(self) -> None:
        super().__init__()
        self.sock = FakeSocket()
        self.written = b""
        self.unsent = 0
        self.closed = False
        self.aborted = False
        self.eof_written = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.sock if name == "socket" else default

    def write(self, data: bytes) -> None:
        if self.eof_written:
            raise RuntimeError("cannot write after write_eof")
        self.written += data

    def write_eof(self) -> None:
        self.eof_written = True

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = self.aborted = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class FakeLog:
    """Records events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, /, **fields: Any) -> None:
        self.events.append((event, fields))

    write_rate_limited = write

    def write_exception(self, during: str, exc: BaseException) -> None:
        self.write("error", during=during, error=type(exc).__name__)


@dataclasses.dataclass(frozen=True)
class FakeLeavingState:
    """State of the leaving ranges for plans; by default none can move."""

    handover_if_transferable: Callable[[KeyRange], str | None] = lambda key_range: None
    handover_if_cancelled: Callable[[KeyRange], str | None] = lambda key_range: None
    may_assign_unowned: Callable[[KeyRange], bool] = lambda key_range: True
    must_agree_on_unowned: Callable[[], bool] = lambda: False
    is_refused: Callable[[KeyRange], bool] = lambda key_range: False
    must_take_over: Callable[[KeyRange], bool] = lambda key_range: False


class FakeStore:
    """Store client for copies that never call the store."""

    def __init__(self) -> None:
        self.era = StoreEra()


def at(number: int, era: int = 0) -> StorePoint:
    """Return a point in time of the store."""
    return StorePoint(era, number)
