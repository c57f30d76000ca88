"""Measures what callers and the store notice when the store goes back to a copy.

Usage: `python -m arbutusflow.standins.era_measurement --instances 9`. Each case runs
real instances of its own. An endpoint drains in the part that is lost, so that the copy
lacks changes of the key table; another one drains and ends later, which shows whether
keys move again. Cases without a new era are outages of the same length.
"""

import asyncio
import bisect
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from typing import Annotated, Any

import msgspec
import typer

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import KEY_SPACE, ExchangeError
from arbutusflow.platform.store import ENDPOINTS_KIND
from arbutusflow.request_ids import new_request_id
from arbutusflow.standins.demo_world import (
    CALLS,
    CHECK_SECONDS,
    DEADLINE_SECONDS,
    ZONES,
    Call,
    DemoWorld,
    request_head,
)
from arbutusflow.standins.embedded_server import Reply, Request
from arbutusflow.standins.gateway_fleet import (
    GatewayInstance,
    Network,
    running_instances,
)

COPY_AGES_SECONDS = (1.0, 3.0, 6.0)
AWAY_SECONDS = (0.3, 2.5)
CALM_SECONDS = 4.0  # Before an endpoint drains.
LOST_LEAD_SECONDS = 0.2  # From the copy to the drain.
WINDOW_SECONDS = 18.0  # After the store has left, in which requests are counted.
DRAIN_SECONDS = 4.0  # From the drain of an endpoint after the window until its end.
LATER_SECONDS = 6.0  # After that end, in which requests are counted as well.
PERIOD_SECONDS = 0.25  # Parts of the window of which the refused share is judged.
REFUSED_SHARE = 0.1
REQUESTS_PER_SECOND = 60.0
PLAIN_SHARE = 0.25
ERA_EVENT = "store_era"  # Line of an instance that has learnt of an era.


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One return of the store. `age_seconds` is None for an outage without an era."""

    age_seconds: float | None
    away_seconds: float
    # Time from the drain of an endpoint until the store leaves, if it is chosen.
    chosen_lead_seconds: float | None = None

    @property
    def lead_seconds(self) -> float:
        """Time from the drain of an endpoint until the store leaves."""
        if self.chosen_lead_seconds is not None:
            return self.chosen_lead_seconds
        age = COPY_AGES_SECONDS[0] if self.age_seconds is None else self.age_seconds
        return age - LOST_LEAD_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one request got. Times are seconds on the monotonic clock."""

    sent_at: float
    keyed: bool
    served: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Measurements of one case."""

    era_seconds: float | None  # Until all instances are in the era; None if not.
    calls: int  # To the store in the worst second.
    writes: int  # The same, writes only.
    refused_share: float  # Of the requests with a key.
    refused_seconds: float  # Time in which over `REFUSED_SHARE` was refused.
    refused_later: float  # Share after the end of another endpoint.
    plain_refused: int  # Requests without a key.
    requests: int  # With a key.


def most_in_a_second(times: Sequence[float]) -> int:
    """Return the largest number of sorted times within one second."""
    return max(
        (
            bisect.bisect_left(times, start + 1.0) - number
            for number, start in enumerate(times)
        ),
        default=0,
    )


def refused_share(outcomes: Iterable[Outcome]) -> float:
    """Return the share of requests that were not served; 0 of none."""
    served = [outcome.served for outcome in outcomes]
    return 1.0 - sum(served) / len(served) if served else 0.0


def refused_seconds(outcomes: Iterable[Outcome], since: float) -> float:
    """Return how long over `REFUSED_SHARE` of the requests was refused."""
    periods: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        number = int((outcome.sent_at - since) / PERIOD_SECONDS)
        periods.setdefault(number, []).append(outcome)
    refused = [refused_share(part) > REFUSED_SHARE for part in periods.values()]
    return PERIOD_SECONDS * sum(refused)


def era_learnt_at(lines: Iterable[bytes], era: int) -> float | None:
    """Return the time of day at which a log says that its instance is in an era."""
    for line in lines:
        try:
            fields: dict[str, Any] = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue  # Output that is not of the log, such as a warning.
        if fields.get("event") == ERA_EVENT and fields.get("new") == era:
            return float(fields["time"])
    return None


class Measurement:
    """Plays one case on a running deployment."""

    def __init__(self, world: DemoWorld, case: Case, rng: random.Random) -> None:
        self._world = world
        self._case = case
        self._rng = rng
        self._outcomes: list[Outcome] = []
        self._calls: list[tuple[float, bytes]] = []
        self._handler = world.store.server.handler
        world.store.server.handler = self._count_call

    async def _count_call(self, req: Request) -> Reply:
        self._calls.append((time.monotonic(), req.method))
        return await self._handler(req)

    async def play(self) -> Result:
        """Play the case and return what was measured."""
        async with asyncio.TaskGroup() as group:
            callers = group.create_task(self._call_on(group))
            await asyncio.sleep(CALM_SECONDS)
            left_at, back_at = await self._disturb()
            await asyncio.sleep(left_at + WINDOW_SECONDS - time.monotonic())
            await self._end_another()
            ended_at = time.monotonic()
            await asyncio.sleep(LATER_SECONDS)
            callers.cancel()
        return self._summarise(left_at, back_at, ended_at)

    async def _end_another(self) -> None:
        """Drain one more endpoint, which ends."""
        leaving = self._world.owners[1]
        draining = dataclasses.replace(leaving.entry, draining=True)
        self._world.store.put_endpoint(draining)
        await asyncio.sleep(DRAIN_SECONDS)
        self._world.store.state.remove_outside(ENDPOINTS_KIND, leaving.entry.id)
        leaving.server.close()

    async def _disturb(self) -> tuple[float, float]:
        """Return when the store left, and the time of day when it came back."""
        state = self._world.store.state
        leaving = self._world.owners[0].entry
        self._world.store.put_endpoint(dataclasses.replace(leaving, draining=True))
        await asyncio.sleep(self._case.lead_seconds)
        left_at = time.monotonic()
        state.leave()
        await asyncio.sleep(self._case.away_seconds)
        if self._case.age_seconds is not None:
            state.go_back(left_at - self._case.age_seconds)
        state.come_back()
        back_at = time.time()
        await state.write_again(self._rng)
        return left_at, back_at

    async def _call_on(self, group: asyncio.TaskGroup) -> None:
        while True:
            keyed = self._rng.random() >= PLAIN_SHARE
            call = next(c for c in CALLS if c.keyed is keyed and c.repeatable)
            instance = self._rng.choice(self._world.instances)
            key = self._rng.randrange(KEY_SPACE)
            group.create_task(self._call(instance, call, key))
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))

    async def _call(self, instance: GatewayInstance, call: Call, key: int) -> None:
        sent_at = time.monotonic()
        status = await _status(instance, call, key)
        self._outcomes.append(Outcome(sent_at, call.keyed, status == 200))

    def _summarise(self, left_at: float, back_at: float, ended_at: float) -> Result:
        until = left_at + WINDOW_SECONDS
        seen = [o for o in self._outcomes if left_at <= o.sent_at < until]
        keyed = [outcome for outcome in seen if outcome.keyed]
        calls = [call for call in self._calls if left_at <= call[0] < until]
        writes = [at for at, method in calls if method != b"GET"]
        later = [o for o in self._outcomes if o.keyed and o.sent_at >= ended_at]
        return Result(
            self._era_seconds(back_at),
            most_in_a_second([at for at, _ in calls]),
            most_in_a_second(writes),
            refused_share(keyed),
            refused_seconds(keyed, left_at),
            refused_share(later),
            sum(not o.served for o in seen if not o.keyed),
            len(keyed),
        )

    def _era_seconds(self, back_at: float) -> float | None:
        era = self._world.store.state.era
        if self._case.age_seconds is None or era is None:
            return None
        learnt = []
        for instance in self._world.instances:
            lines = instance.log_path.read_bytes().splitlines()
            learnt.append(era_learnt_at(lines, era))
        known = [at for at in learnt if at is not None]
        return max(known) - back_at if len(known) == len(learnt) else None


async def _status(instance: GatewayInstance, call: Call, key: int) -> int:
    """Return the status of one request, or 0 without an answer."""
    head = request_head(call, new_request_id(), key)
    try:
        conn = await ClientConnection.open(
            instance.settings.caller_address, CHECK_SECONDS
        )
    except ExchangeError:
        return 0
    try:
        return (await conn.exchange(head, b"", DEADLINE_SECONDS)).status
    except ExchangeError:
        return 0
    finally:
        conn.close()


def _raise(exc: BaseException) -> None:
    raise exc


async def _measure(
    case: Case, zones: Sequence[str], network: Network, directory: pathlib.Path
) -> Result:
    rng = random.Random(1)
    with running_instances(zones, network, directory) as instances:
        world = DemoWorld(instances, network, rng, _raise)
        world.store.state.era = 1
        try:
            await world.start()
            await world.wait_until_served()
            return await Measurement(world, case, rng).play()
        finally:
            world.close()


def table_row(case: Case, result: Result) -> str:
    """Return a row of the table of the page of measurements."""
    age = "no new era" if case.age_seconds is None else f"{case.age_seconds:g} s"
    era = "-" if result.era_seconds is None else f"{result.era_seconds:.2f} s"
    cells = (
        age,
        f"{case.away_seconds:g} s",
        era,
        f"{result.calls} ({result.writes} writes)",
        f"{100 * result.refused_share:.1f} % of {result.requests}",
        f"{result.refused_seconds:.2f} s",
        f"{100 * result.refused_later:.1f} %",
        str(result.plain_refused),
    )
    return f"| {' | '.join(cells)} |"


TABLE_HEAD = (
    "| copy older by | away | all in the era after | calls in the worst second"
    " | keyed refused or failed | over 10 % refused for"
    " | after another endpoint ended | others refused |\n"
    "|---|---|---|---|---|---|---|---|"
)


def main(
    instances: Annotated[int, typer.Option(min=1, max=90)] = 9,
    ages: Annotated[str, typer.Option(help="Of copies, in seconds.")] = "1,3,6",
    lead: Annotated[
        float | None,
        typer.Option(help="Seconds from the drain until the store leaves."),
    ] = None,
    network: str = "",
) -> None:
    """Measure each age of the copy and each time away; print a table."""
    # SIGTERM ends the instances, too, as an interrupt does.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    addresses = Network.parse(network) if network else Network.of_process(os.getpid())
    zones = [ZONES[number % len(ZONES)] for number in range(instances)]
    chosen: list[float | None] = [float(age) for age in ages.split(",") if age]
    typer.echo(TABLE_HEAD)
    for copy_age in (*chosen, None):
        for away in AWAY_SECONDS:
            case = Case(copy_age, away, lead)
            with tempfile.TemporaryDirectory(prefix="eras-") as name:
                run = _measure(case, zones, addresses, pathlib.Path(name))
                typer.echo(table_row(case, asyncio.run(run)))
            sys.stdout.flush()
    typer.echo(f"{instances} instances; load of the host: {os.getloadavg()}")


if __name__ == "__main__":
    typer.run(main)
