"""Runs an example deployment and checks the delivery guarantees under load.

Usage: `python -m arbutusflow.standins.demo examples/ecuador.yaml`. The exit
status is 0 only if no promise was broken and 99 of 100 requests were answered.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time
from typing import Annotated

import msgspec
import typer
from hdrh.histogram import HdrHistogram

from arbutusflow.adapters.settings import load_configuration
from arbutusflow.domain.configuration import Configuration, Kind, Service
from arbutusflow.request_ids import new_request_id
from arbutusflow.runtime.curl_loop import CurlError, CurlLoop, CurlRequest
from arbutusflow.standins.endpoint_server import WorkLogEntry
from arbutusflow.standins.fleet import (
    ENTRY_COUNT,
    HOST,
    Fleet,
    FleetClient,
    running_fleet,
)
from arbutusflow.standins.promises import (
    CALM_PART,
    Outcome,
    SentRequest,
    broken_request_promises,
    unserved_calm_part,
)

SERVICE_TIME_MS = 4.0
CALLER_COUNT = 24
TRAFFIC_SECONDS = 8.0
KEY_COUNT = 2_000
MAX_LATENCY_US = 60_000_000
# By the value of the header with the outcome.
OUTCOMES = {
    "answered": Outcome.ANSWERED,
    "not-run": Outcome.NOT_RUN,
    "unknown": Outcome.UNKNOWN,
}


class Answer(msgspec.Struct, frozen=True):
    """Body of the answer of an endpoint stand-in."""

    endpoint: str
    service: str
    kind: str
    key: str
    request_id: str
    bytes: int


class DemoCaller:
    """Sends a seeded random mix of requests through all entry instances."""

    def __init__(
        self, cfg: Configuration, curl: CurlLoop, caller_port: int, seed: int
    ) -> None:
        self._caller_port = caller_port
        self._choices = [(s, kind) for s in cfg.services for kind in s.kinds]
        self._curl = curl
        self._random = random.Random(seed)
        self.sent: list[SentRequest] = []

    async def run(self, until: float) -> None:
        """Send requests in sequence until the event loop's clock reaches `until`."""
        while asyncio.get_running_loop().time() < until:
            service, kind = self._random.choice(self._choices)
            await self._send(service, kind)

    async def _send(self, service: Service, kind: Kind) -> None:
        key = f"key-{self._random.randrange(KEY_COUNT)}"
        request_id = new_request_id()
        body = self._random.randbytes(self._random.randrange(1, 20_000))
        port = self._caller_port + self._random.randrange(ENTRY_COUNT)
        sent_at = time.monotonic()
        outcome, reason, own_answer = "unknown", "caller_saw_no_answer", True
        try:
            response = await self._curl.perform(
                CurlRequest(
                    "POST",
                    f"http://{HOST}:{port}/v1/{service.name}/{kind.name}/{key}",
                    (f"Arbutus-Request-Id: {request_id}",),
                    body,
                    kind.timeout_ms + 1_000,
                    fresh_connection=not kind.repeatable,
                )
            )
        except CurlError as exc:
            if not exc.sent:
                outcome, reason = "not-run", "entry_not_reached"
        else:
            outcome = response.headers.get("arbutus-outcome", "unknown")
            reason = response.headers.get("arbutus-reason", "")
            if outcome == "answered":
                answer = msgspec.json.decode(response.body, type=Answer)
                own_answer = (
                    answer.key == key
                    and answer.request_id == request_id
                    and answer.kind == kind.name
                    and answer.bytes == len(body)
                )
        self.sent.append(
            SentRequest(
                request_id,
                CALM_PART,
                f"{service.name}/{kind.name}",
                kind.repeatable,
                OUTCOMES[outcome],
                reason,
                sent_at,
                time.monotonic(),
                own_answer,
            )
        )


async def count_runs(
    cfg: Configuration, client: FleetClient
) -> collections.Counter[str]:
    """Count the runs of each request in the work logs of the endpoints."""
    runs: collections.Counter[str] = collections.Counter()
    for service in cfg.services:
        for endpoint in service.endpoints:
            url = f"http://{endpoint.host}:{endpoint.port}/control/log"
            response = await client.get(url, 10_000)
            for item in msgspec.json.decode(response.body, type=list[WorkLogEntry]):
                runs[item.request_id] += 1
    return runs


def print_report(sent: list[SentRequest], violations: list[str]) -> None:
    """Print outcomes and latency by service and kind, and the violated guarantees."""
    groups: dict[str, list[SentRequest]] = collections.defaultdict(list)
    for item in sent:
        groups[item.group].append(item)
    typer.echo(
        f"{'service/kind':<26}{'sent':>7}{'answered':>9}{'not run':>8}"
        f"{'unknown':>8}{'p50 ms':>8}{'p99 ms':>8}"
    )
    for group, items in sorted(groups.items()):
        outcomes = collections.Counter(item.outcome for item in items)
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for item in items:
            latency_us = int((item.ended_at - item.sent_at) * 1e6)
            histogram.record_value(min(latency_us, MAX_LATENCY_US))
        typer.echo(
            f"{group:<26}{len(items):>7}{outcomes[Outcome.ANSWERED]:>9}"
            f"{outcomes[Outcome.NOT_RUN]:>8}{outcomes[Outcome.UNKNOWN]:>8}"
            f"{histogram.get_value_at_percentile(50) / 1000:>8.1f}"
            f"{histogram.get_value_at_percentile(99) / 1000:>8.1f}"
        )
    reasons = collections.Counter(item.reason for item in sent if item.reason)
    typer.echo(f"reasons: {dict(reasons) or 'none'}")
    for violation in violations[:10]:
        typer.echo(f"BROKEN: {violation}")
    typer.echo(f"guarantees violated: {len(violations)}")


async def run_demo(fleet: Fleet, seed: int) -> int:
    """Send the requests to `fleet` and return the exit status."""
    cfg = fleet.cfg
    curl = CurlLoop(asyncio.get_running_loop(), max_host_connections=CALLER_COUNT * 2)
    client = FleetClient(curl, fleet.ports)
    await client.wait_until_live()
    accepted = await client.create_services(cfg)
    typer.echo(f"operator patch: {accepted.body.decode()}")
    started = time.monotonic()
    await client.wait_until_served(cfg)
    typer.echo(f"all keys served after {time.monotonic() - started:.1f} s")
    caller = DemoCaller(cfg, curl, fleet.ports.caller, seed)
    until = asyncio.get_running_loop().time() + TRAFFIC_SECONDS
    await asyncio.gather(*(caller.run(until) for _ in range(CALLER_COUNT)))
    runs = await count_runs(cfg, client)
    violations = broken_request_promises(caller.sent, runs)
    violations += unserved_calm_part(caller.sent)
    print_report(caller.sent, violations)
    curl.close()
    return 1 if violations else 0


def main(
    configuration: Annotated[pathlib.Path, typer.Argument()],
    seed: int = 1,
    logs: pathlib.Path | None = None,
    port_offset: int = 0,
) -> None:
    """Run the example deployment in CONFIGURATION."""
    cfg = load_configuration(configuration)
    endpoints = sum(len(service.endpoints) for service in cfg.services)
    typer.echo(
        f"{configuration.stem}: {ENTRY_COUNT} entry instances, {endpoints} endpoints"
    )
    with running_fleet(cfg, SERVICE_TIME_MS, logs, port_offset) as fleet:
        status = asyncio.run(run_demo(fleet, seed))
        failed = fleet.stop()
    if failed:
        typer.echo(f"BROKEN: entry instances that did not stop gracefully: {failed}")
    sys.exit(1 if failed else status)


if __name__ == "__main__":
    typer.run(main)
