"""Probes of the measurement on real processes."""

import asyncio
from types import SimpleNamespace

from arbutusflow.measure.real_faults import KEYS_PER_SERVICE, Prober
from arbutusflow.runtime.curl_loop import CurlResponse
from tests.test_cancellation import CFG


def test_stop_waits_for_the_requests_under_way():
    """Guards against answers that come after the endpoint's log was read.

    Such a request was reported as answered, but never run.
    """

    async def run():
        answer, asked = asyncio.Event(), asyncio.Event()

        async def perform(req):
            asked.set()
            await answer.wait()
            return CurlResponse(200, {"arbutus-outcome": "answered"}, b"")

        ports = SimpleNamespace(caller=1)
        fleet = SimpleNamespace(ports=ports, peers=(1,), cfg=CFG)
        prober = Prober(fleet, SimpleNamespace(perform=perform))
        prober.start()
        await asked.wait()
        stopping = asyncio.create_task(prober.stop())
        for _ in range(KEYS_PER_SERVICE):
            await asyncio.sleep(0)
        assert not stopping.done()
        answer.set()
        await stopping
        assert {probe.outcome for probe in prober.probes} == {"answered"}

    asyncio.run(run())
