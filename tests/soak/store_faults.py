"""The store goes back to a copy that is some seconds old, in a new era.

Refused calls, connections that end and calls without an answer come before it, as the
platform may do any of these while its store is away.
"""

import asyncio

from tests.soak.disturbances import STORE
from tests.soak.world import SoakWorld

COPY_AGE_SECONDS = (0.3, 6.0)
AWAY_SECONDS = (0.1, 2.5)
TWICE_SHARE = 0.3  # Of the faults in which the store goes back once more soon.
BETWEEN_SECONDS = (0.2, 3.0)


async def store_goes_back(world: SoakWorld) -> None:
    """Take the store away; it comes back older, at times twice within seconds."""
    rng = world.rng
    age = rng.uniform(*COPY_AGE_SECONDS)
    twice = rng.random() < TWICE_SHARE
    between, second_age = rng.uniform(*BETWEEN_SECONDS), rng.uniform(0.2, 3.0)
    taken_at = await go_back(world, age, rng.uniform(*AWAY_SECONDS))
    if twice:
        await asyncio.sleep(between)
        # An older copy than the first one.
        age = asyncio.get_running_loop().time() - taken_at + second_age
        await go_back(world, age, rng.uniform(*AWAY_SECONDS))


async def go_back(world: SoakWorld, age: float, away: float) -> float:
    """Let the store go back once; return the time of its copy on the loop's clock."""
    state, rng = world.store.state, world.rng
    taken_at = asyncio.get_running_loop().time() - age
    kind = rng.randrange(3)
    note = f"goes back {age:.2f} s, away {away:.2f} s"
    with world.disturbances.lasting(STORE, note=note):
        if kind == 0:
            state.leave()
        for proxy in world.store_proxies:
            if kind == 1:
                proxy.refuses_connections = True
                proxy.reset()
            elif kind == 2:
                proxy.block()
        await asyncio.sleep(away)
        state.go_back(taken_at)
        state.come_back()
        for proxy in world.store_proxies:
            proxy.clear_faults()
    world.spawn(state.write_again(rng))
    return taken_at
