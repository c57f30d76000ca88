"""The platform's names are used only in its adapter package."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parents[2] / "arbutusflow"
# Field and header names of the platform that are translated by the adapter.
PLATFORM_NAMES = re.compile(
    r"Response-Seal|Expect-Instance|Instance-Load|Instance-Id|Not-Executed|Shard-Key"
    r"|routeType|trafficSplit|pathPrefix|targetLatencyS|maxAttempts|holdS|coldLeftS|coldPerS"
    r"|warmupS|nodeName|maxConns|ARBUTUSFLOW_CONFIG|/arbutusflow/(?:grant|release|ready)"
    r"|[Ss]erver-[Ll]eaving|[Cc]old-[Mm]s|coldOvershoot|coldSlack"
)
MODULES = sorted(
    path for path in PACKAGE.rglob("*.py") if "platform" not in path.parent.parts[-1:]
)


@pytest.mark.parametrize("path", MODULES, ids=lambda p: str(p.relative_to(PACKAGE)))
def test_modules_outside_the_adapter_use_no_platform_names(path):
    assert not PLATFORM_NAMES.findall(path.read_text())


def test_the_adapter_imports_no_decision_logic():
    """The adapter only decodes, encodes and calls, without timers, choices or state."""
    for path in (PACKAGE / "platform").glob("*.py"):
        imported = re.findall(
            r"^from arbutusflow\.(\S+) import", path.read_text(), re.M
        )
        allowed = {"errors", "gateway.model", "gateway.client_connection"}
        # Its own modules are all checked here, so they bring in nothing else.
        others = {name for name in imported if name.split(".")[0] != "platform"}
        assert others <= allowed, path.name
