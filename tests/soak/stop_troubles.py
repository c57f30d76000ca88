"""What happens beside planned stops: signals, reloads, configurations, silent stores.

Most of it is planned work; a silent store excuses only requests with a key, and what
ends an endpoint only the requests that had reached it. A freeze of an instance is not
planned.
"""

import asyncio
import collections
import signal
import time
from collections.abc import Awaitable, Callable

from tests.soak.faults import endpoint_crashes, endpoint_drains, endpoint_restarts
from tests.soak.gateway_process import GatewayProcess
from tests.soak.stop_scenarios import StopScenario
from tests.soak.world import SoakWorld

# After the end of a disturbance; `stableWindowS` of the platform.
STABLE_SECONDS = 3.0
# A process handles SIGHUP as soon as its interpreter runs, and has read its settings
# some time later.
INTERPRETER_SECONDS = 0.3
START_SECONDS = 3.0
HALF_WRITTEN_SECONDS = (0.0, 0.5)  # Until the rest of the settings is written.
BURST = 4  # Most configurations in one series.
BURST_GAP_SECONDS = 0.15


class SpanBook:
    """Times in which something lasted, by instance."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )

    def add(self, instance: str, seconds: float) -> None:
        """Record something that begins now."""
        now = time.monotonic()
        self._spans[instance].append((now, now + seconds))

    def disturb(self, instance: str, since: float, until: float) -> bool:
        """Whether a request of this time was disturbed."""
        return any(
            begin <= until and since <= end + STABLE_SECONDS
            for begin, end in self._spans[instance]
        )


class Troubles:
    """Draws what happens beside the stops of one run, and does it."""

    def __init__(self, world: SoakWorld, scenario: StopScenario) -> None:
        self._world = world
        self._scenario = scenario
        self._rng = world.rng
        self.reloads: dict[str, list[float]] = collections.defaultdict(list)
        self.silences = SpanBook()  # Times in which the store did not answer.
        self.freezes = SpanBook()

    def start(self) -> None:
        """Start what happens at any time."""
        scenario = self._scenario
        for rate, action in (
            (scenario.reloads, self._reload_some),
            (scenario.configurations, self._write_configurations),
            (scenario.endpoint_changes, self._change_endpoint),
        ):
            if rate:
                self._world.spawn(self._repeat(rate, action))

    async def _repeat(self, rate: float, action: Callable[[], Awaitable[None]]) -> None:
        while self._world.callers_active:
            await asyncio.sleep(self._rng.expovariate(rate))
            await action()

    async def _write_configurations(self) -> None:
        for _ in range(self._rng.randint(1, BURST)):
            self._world.write_configuration()
            await asyncio.sleep(self._rng.uniform(0.0, BURST_GAP_SECONDS))

    async def _change_endpoint(self) -> None:
        change = self._rng.choice(
            (endpoint_drains, endpoint_crashes, endpoint_restarts)
        )
        self._world.spawn(change(self._world))

    async def _reload_some(self) -> None:
        gateway = self._rng.choice(self._world.gateways)
        process, age = gateway.process, time.monotonic() - gateway.started_at
        if age < INTERPRETER_SECONDS:
            return
        slack = f"retryBudgetSlack = {self._rng.randint(50, 90)}"
        text = gateway.settings.replace("retryBudgetSlack = 60", slack)
        if age > START_SECONDS and self._rng.random() < 0.5:
            gateway.write_settings(text[: self._rng.randrange(len(text))])
            self._signal_reload(gateway)
            await asyncio.sleep(self._rng.uniform(*HALF_WRITTEN_SECONDS))
        gateway.write_settings(text)
        if gateway.process is process:
            self._signal_reload(gateway)

    def _signal_reload(self, gateway: GatewayProcess) -> None:
        self.reloads[gateway.name].append(time.monotonic())
        gateway.signal(signal.SIGHUP)

    def beside_stop(self, gateway: GatewayProcess) -> None:
        """Start what is drawn beside a stop of this instance, which begins now."""
        scenario = self._scenario
        for share, action in (
            (scenario.second_signals, self._signal_again),
            (scenario.silent_stores, self._silence_store),
            (scenario.freezes, self._freeze),
        ):
            if self._rng.random() < share:
                self._world.spawn(action(gateway))

    async def _signal_again(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        for _ in range(self._rng.randint(1, 2)):
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))
            if gateway.process is process:
                gateway.signal(signal.SIGTERM)

    async def _silence_store(self, gateway: GatewayProcess) -> None:
        proxy = self._world.store_proxies[self._world.gateways.index(gateway)]
        seconds = self._rng.uniform(1.0, 6.0)
        await asyncio.sleep(self._rng.uniform(0.0, 3.0))
        self.silences.add(gateway.name, seconds)
        proxy.block()
        await asyncio.sleep(seconds)
        proxy.clear_faults()

    async def _freeze(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        await asyncio.sleep(self._rng.uniform(0.0, 4.0))
        if gateway.process is not process:
            return
        seconds = self._rng.uniform(0.1, 2.0)
        self.freezes.add(gateway.name, seconds)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if gateway.process is process:
            gateway.signal(signal.SIGCONT)
