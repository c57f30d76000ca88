"""Tests of the prober that sends requests to real processes."""

import asyncio
from types import SimpleNamespace

from arbutusflow.measure.real_faults import KEYS_PER_SERVICE, Prober
from arbutusflow.runtime.curl_loop import CurlResponse
from tests.test_cancellation import CFG


def test_stop_waits_for_requests_in_flight():
    """Guards against a probe that is answered after the endpoint's log was read.

    Such a request would be reported as answered but never run.
    """

    async def run():
        response_allowed, request_sent = asyncio.Event(), asyncio.Event()

        async def perform(req):
            request_sent.set()
            await response_allowed.wait()
            return CurlResponse(200, {"arbutus-outcome": "answered"}, b"")

        ports = SimpleNamespace(caller=1)
        fleet = SimpleNamespace(ports=ports, entry_instances=(1,), cfg=CFG)
        prober = Prober(fleet, SimpleNamespace(perform=perform))
        prober.start()
        await request_sent.wait()
        stopping = asyncio.create_task(prober.stop())
        for _ in range(KEYS_PER_SERVICE):
            await asyncio.sleep(0)
        assert not stopping.done()
        response_allowed.set()
        await stopping
        assert {probe.outcome for probe in prober.probes} == {"answered"}

    asyncio.run(run())
