"""Measures how long a change of a configuration takes to reach all instances.

Simulated fleet in virtual time: links have a bandwidth and lose packets; processor time
and losses of the store's connections are not simulated.

    .venv/bin/python -m tests.gateway.change_spread
"""

import argparse
import asyncio
import dataclasses
import random
import statistics
import sys
from typing import Any

from tests.gateway.sim_fleet import OTHER_KIND, SimFleet, SimInstance, run_fleet

ROUTES = 2000
LINK_BYTES_PER_SECOND = 1_250_000.0  # Of an instance: 10 Mbit/s, the slowest deployed.
STORE_BYTES_PER_SECOND = 25_000_000.0
SETTLE_SECONDS = 8.0
LIMIT_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Seconds from acknowledgement to in force, and what it took."""

    seconds: list[float]  # Of each instance, sorted; infinite if not in force.
    calls: int  # To the store.
    datagram_bytes: int
    repeated_pieces: int  # Requested again.

    def row(self) -> str:
        """Return the figures as cells of a table."""
        late = self.seconds[min(len(self.seconds) - 1, int(0.99 * len(self.seconds)))]
        return (
            f"{statistics.median(self.seconds):.2f} | {late:.2f} "
            f"| {self.seconds[-1]:.2f} | {self.calls} | {self.datagram_bytes / 1e6:.2f}"
        )


def _route(rng: random.Random) -> dict[str, Any]:
    name = f"{rng.getrandbits(32):08x}"
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "service": rng.choice(("orders", "search", "registry")),
        "maxAttempts": rng.randrange(1, 4),
        "timeoutS": round(rng.uniform(0.5, 8.0), 2),
        "priority": rng.randrange(4),
    }


def make_routes(rng: random.Random, count: int) -> list[dict[str, Any]]:
    """Return routes with random names and figures."""
    return [_route(rng) for _ in range(count)]


def measure(instances: int, changed: int, loss: float, seed: int) -> Spread:
    """Change some routes of a simulated fleet, and wait until all have them."""

    async def scenario(sim: SimFleet) -> Spread:
        rng = random.Random(seed)
        routes = make_routes(rng, ROUTES)
        sim.store.write_other(routes)
        await asyncio.sleep(SETTLE_SECONDS)
        rates = dict.fromkeys(sim.instances, LINK_BYTES_PER_SECOND)
        sim.set_links(rates, STORE_BYTES_PER_SECOND)
        sim.datagram_loss, sim.packet_loss = 0.0, loss
        await asyncio.sleep(1.0 + rng.random())
        calls, size, started = _calls(sim), sim.datagram_bytes, sim.now
        repeated = _repeated_pieces(sim)
        sim.store.write_other(make_routes(rng, changed) + routes[changed:])
        revision = sim.store.point
        for _ in range(int(LIMIT_SECONDS / 0.1)):
            await asyncio.sleep(0.1)
            if all(revision in i.in_force_at for i in sim.instances.values()):
                break
        seconds = [
            i.in_force_at.get(revision, float("inf")) - started
            for i in sim.instances.values()
        ]
        return Spread(
            sorted(seconds),
            _calls(sim) - calls,
            sim.datagram_bytes - size,
            _repeated_pieces(sim) - repeated,
        )

    result: Spread = run_fleet(scenario, seed, instances)
    return result


def _calls(sim: SimFleet) -> int:
    return sum(i.task._store.calls for i in sim.instances.values())


def _repeated_pieces(sim: SimFleet) -> int:
    key = OTHER_KIND, "pieces_requested_again"
    return sum(i.task.relay.counts[key] for i in sim.instances.values())


def main() -> None:
    """Print a table with a row for each combination."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, nargs="+", default=[10, 70, 200])
    parser.add_argument("--changed", type=int, nargs="+", default=[1, ROUTES])
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.05])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    SimInstance.has_other_copy = True
    for instances in args.instances:
        for changed in args.changed:
            for loss in args.loss:
                spread = measure(instances, changed, loss, args.seed)
                sys.stdout.write(
                    f"| {instances} | {changed} | {loss:.0%} | {spread.row()} |\n"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
