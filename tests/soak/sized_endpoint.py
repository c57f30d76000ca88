"""Stand-in for an endpoint whose answers have the size and delay that is asked for."""

import dataclasses

from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse
from tests.gateway.object_platform import FakeEndpoint, ObjectStore

SLOTS = 500


class SizedEndpoint(FakeEndpoint):
    """Endpoint whose answers are as large and as late as `/PREFIX/BYTES/MS` asks."""

    async def start(self, host: str, store: ObjectStore) -> None:
        """Listen, and register in the store."""
        self.slots = SLOTS
        await self.server.start(host, 0)
        spec = {
            "address": f"{host}:{self.server.port}",
            "info": {"service": "b", "version": "v", "zone": "z0", "slots": SLOTS},
            "status": {"state": "ready", "seq": 1, "coldLeftS": 0},
            "born": 1,
        }
        store.put("servers", self.name, spec)

    async def _run(self, req: CallerRequest, request_id: bytes) -> CallerResponse:
        parts = req.target.split(b"/")
        size, milliseconds = int(parts[2]), int(parts[3])
        self.work_seconds = milliseconds / 1000
        reply = await super()._run(req, request_id)
        return dataclasses.replace(reply, body=b"x" * size)
