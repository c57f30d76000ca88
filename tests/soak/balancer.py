"""The platform's choice of instances for new connections of callers.

An instance that fails `MISSES` readiness checks in a row gets no new connections until
it passes one. If fewer than half of a zone's instances are in rotation, all are used.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError
from arbutusflow.platform import wire
from tests.soak.gateway_process import GatewayProcess

CHECK_PERIOD_SECONDS = 1.0
MISSES = 2


class Balancer:
    """Checks the readiness of instances and chooses among them."""

    def __init__(
        self,
        rng: random.Random,
        gateways: Sequence[GatewayProcess],
        is_active: Callable[[], bool],
    ) -> None:
        self._rng = rng
        self._gateways = gateways
        self._is_active = is_active
        self._out_of_rotation: set[str] = set()

    def choose(self) -> GatewayProcess:
        """Return the instance that gets a new connection."""
        zone = self._rng.choice(self._gateways).zone
        of_zone = [gateway for gateway in self._gateways if gateway.zone == zone]
        return self._rng.choice(self._usable(of_zone))

    def is_out(self, gateway: GatewayProcess) -> bool:
        """Whether an instance is out of rotation."""
        return gateway.name in self._out_of_rotation

    def receives(self, gateway: GatewayProcess) -> bool:
        """Whether an instance gets new connections."""
        of_zone = [g for g in self._gateways if g.zone == gateway.zone]
        return gateway in self._usable(of_zone)

    def _usable(self, of_zone: list[GatewayProcess]) -> list[GatewayProcess]:
        ready = [g for g in of_zone if g.name not in self._out_of_rotation]
        return ready if len(ready) * 2 >= len(of_zone) else of_zone

    async def check(self, gateway: GatewayProcess) -> None:
        """Check one instance until the run ends."""
        misses = 0
        while self._is_active():
            if await self._is_ready(gateway):
                misses = 0
                self._out_of_rotation.discard(gateway.name)
            else:
                misses += 1
            if misses >= MISSES:
                self._out_of_rotation.add(gateway.name)
            await asyncio.sleep(CHECK_PERIOD_SECONDS)

    @staticmethod
    async def _is_ready(gateway: GatewayProcess) -> bool:
        head = b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % wire.READINESS_PATH
        address = Address(gateway.host, gateway.readiness_port)
        with contextlib.suppress(ExchangeError):
            conn = await ClientConnection.open(address, 1.0)
            try:
                return (await conn.exchange(head, b"", 1.0)).status == 200
            finally:
                conn.close()
        return False
