"""Routes are found in a time that does not depend on their number.

Guards against requests that become slower with each route of a large configuration, and
against look-ups that choose another route than the longest matching prefix.
"""

import dataclasses

from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.model import Configuration
from arbutusflow.gateway.routing import RouteTable
from arbutusflow.platform.documents import decode_configuration
from tests.gateway.test_documents import CONFIGURATION

CONFIG = decode_configuration(CONFIGURATION)
HOSTS = st.sampled_from(["a", "b"])
# Few letters, so that prefixes contain each other and paths match.
PATHS = st.text("xy/", max_size=6).map(lambda text: "/" + text)


def make_configuration(routes):
    """Return a configuration with routes by host and prefix, named by position."""
    made = [
        dataclasses.replace(CONFIG.routes[0], name=str(i), host=host, prefix=prefix)
        for i, (host, prefix) in enumerate(routes)
    ]
    return Configuration(1, tuple(made), CONFIG.services, CONFIG.limits)


def first_longest(cfg, host, path):
    """Return the route by comparing all of them."""
    found = [r for r in cfg.routes if r.host == host and path.startswith(r.prefix)]
    return max(found, key=lambda route: len(route.prefix), default=None)


@settings(max_examples=400, deadline=None)
@given(
    routes=st.lists(st.tuples(HOSTS, PATHS), max_size=12),
    requests=st.lists(st.tuples(HOSTS, PATHS), max_size=6),
)
def test_the_longest_matching_prefix_is_chosen(routes, requests):
    cfg = make_configuration(routes)
    table = RouteTable(cfg)
    for host, path in requests:
        assert table.match(host, path) is first_longest(cfg, host, path)


def test_a_match_does_not_compare_the_path_with_all_routes():
    operations = []

    class Path(str):
        __slots__ = ()

        def startswith(self, *args):
            operations.append(args)
            return str.startswith(self, *args)

        def __getitem__(self, index):
            operations.append(index)
            return str.__getitem__(self, index)

    routes = [("a", f"/{number:05}/") for number in range(10_000)]
    table = RouteTable(make_configuration(routes))
    assert table.match("a", Path("/05042/rest")).name == "5042"
    assert table.match("a", Path("/none/rest")) is None
    assert len(operations) == 2
