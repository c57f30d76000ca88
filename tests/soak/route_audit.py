"""Checks that requests are run only by services that some configuration names.

ROUTE: a request must not be run by a service to which no configuration ever sent allows
it to go, also after an endpoint of another service has taken over an address.
"""

from tests.soak.configurations import ConfigurationHistory
from tests.soak.records import PlayedCall, RequestRecord


def strange_services(
    history: ConfigurationHistory, call: PlayedCall, record: RequestRecord
) -> list[str]:
    """Return the services that ran a request without a route to them."""
    runs = zip(record.runs, record.services, strict=True)
    return [
        service
        for (start, _), service in runs
        if not history.allowing(call.path, service, start)
    ]
