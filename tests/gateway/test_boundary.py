"""Names of the platform stay in its folder."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parents[2] / "arbutusflow"
# Field and header names that the platform chose and this project does not use.
FOREIGN = re.compile(
    r"Response-Seal|Expect-Instance|Instance-Load|Instance-Id|Not-Executed|Shard-Key"
    r"|routeType|trafficSplit|pathPrefix|targetLatencyS|maxAttempts|holdS|coldLeftS"
    r"|warmupS|nodeName|maxConns|ARBUTUSFLOW_CONFIG|/arbutusflow/(?:grant|release|ready)"
)
MODULES = sorted(
    path for path in PACKAGE.rglob("*.py") if "platform" not in path.parent.parts[-1:]
)


@pytest.mark.parametrize("path", MODULES, ids=lambda p: str(p.relative_to(PACKAGE)))
def test_no_module_outside_the_folder_knows_the_platforms_names(path):
    assert not FOREIGN.findall(path.read_text())


def test_the_folder_decides_nothing():
    """It may decode, encode and call; timers, choices and state live elsewhere."""
    for path in (PACKAGE / "platform").glob("*.py"):
        imported = re.findall(
            r"^from arbutusflow\.(\S+) import", path.read_text(), re.M
        )
        allowed = {"domain.errors", "gateway.model", "gateway.client_connection"}
        assert set(imported) <= allowed, path.name
