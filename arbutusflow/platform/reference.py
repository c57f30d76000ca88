"""Reference of the fields that the gateway reads from files and documents.

`arbutusflow reference settings` prints the page; a test compares the fields with those
that the decoders read.
"""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field: its path, accepted values, default and meaning."""

    path: str
    accepted: str
    meaning: str
    default: str = "required"


ADDRESS = "`HOST:PORT`"
SECONDS = "seconds, 0 or more"
NUMBER = "a number, 0 or more"

# Of `arbutusflow.platform.settings`. Those that are read again have "reload".
SETTINGS = (
    Field("nodeName", "text", "Name of the instance."),
    Field("ip", "IP address", "Address for other instances and for metrics."),
    Field("zone", "text", "Availability zone of the instance."),
    Field("internalPorts", "list of ports", "The first is used, for datagrams."),
    Field("listen.front", ADDRESS, "Where callers reach the instance; reload."),
    Field("listen.ready", ADDRESS, "Where readiness is checked; reload."),
    Field("limits.memoryMb", "megabytes", "Memory that the process may use."),
    Field(
        "limits.maxFds",
        "a whole number",
        "Descriptors that the process may use, 200 of them for files.",
        "no limit",
    ),
    Field("bounds.graceS", SECONDS, "Between SIGTERM and SIGKILL; reload."),
    Field("bounds.drainS", "seconds", "How long a leaving endpoint accepts requests."),
    Field("bounds.maxHoldS", "seconds", "Longest lease."),
    Field("bounds.retryBudgetRatio", "a number", "Repeats for each request; reload."),
    Field("bounds.budgetWindowS", "seconds", "Time over which they count; reload."),
    Field("bounds.retryBudgetSlack", "a number", "Repeats on top of that; reload."),
    Field(
        "bounds.coldOvershoot",
        NUMBER,
        "A cold endpoint gets at most its `coldPerS` times this; reload.",
        "1.0",
    ),
    Field("bounds.coldSlack", NUMBER, "Requests on top of that; reload.", "0.0"),
    Field(
        "bounds.evacuateS",
        SECONDS,
        "From the store's acknowledgement of an evacuation until no request reaches "
        "the zone.",
        "zones cannot be evacuated",
    ),
    Field("provider.address", ADDRESS, "The object store."),
    Field(
        "learnRoom",
        "true or false",
        "Whether to learn how much each endpoint handles well; the environment variable"
        " `ARBUTUSFLOW_LEARN_ROOM` has precedence.",
        "false",
    ),
    Field(
        "seeds", f"list of {ADDRESS}", "Other instances; checked, not used.", "empty"
    ),
)

# Of `arbutusflow.platform.documents`.
CONFIGURATION = (
    Field("version", "a whole number", "Number of the version."),
    Field("services[].name", "text", "Name of the service."),
    Field("services[].healthPath", "path", "Health check of its endpoints."),
    Field(
        "services[].maxConns", NUMBER, "Connections to one endpoint, of all clients."
    ),
    Field("services[].protocol", "text", "Others than `h1` are left out.", "`h1`"),
    Field(
        "services[].sharded",
        "true or false",
        "Whether each key is owned by one endpoint.",
        "false",
    ),
    Field(
        "services[].coldPerS",
        "a number above 0",
        "Requests per second that a cold endpoint takes. Any other value is logged, "
        "and cold endpoints of the service get no requests.",
        "no limit",
    ),
    Field("limits.maxHeaderBytes", NUMBER, "Size of a caller's headers."),
    Field("limits.maxBodyBytes", NUMBER, "Size of a caller's body."),
    Field("limits.headerTimeoutS", SECONDS, "Until a request's headers are there."),
    Field("limits.idleTimeoutS", SECONDS, "Until an idle connection is closed."),
    Field("hosts[].host", "text", "Host name of the routes below it."),
    Field("hosts[].paths[].name", "text", "Name of the route."),
    Field("hosts[].paths[].pathPrefix", "path", "The longest matching prefix decides."),
    Field(
        "hosts[].paths[].routeType",
        "text",
        "`safe`, `download`: idempotent; any other: work that runs at most once.",
    ),
    Field("hosts[].paths[].timeoutS", SECONDS, "Longest time until the answer."),
    Field(
        "hosts[].paths[].targetLatencyS",
        SECONDS,
        "Objective: answers within it have their full value.",
    ),
    Field("hosts[].paths[].priority", NUMBER, "Rank; 0 is the most urgent."),
    Field("hosts[].paths[].maxAttempts", NUMBER, "Endpoints that are tried."),
    Field(
        "hosts[].paths[].service",
        "text",
        "Service of the route.",
        "required without `trafficSplit`",
    ),
    Field(
        "hosts[].paths[].trafficSplit[].service",
        "text",
        "One of several services of the route.",
        "required in the list",
    ),
    Field(
        "hosts[].paths[].trafficSplit[].weight",
        NUMBER,
        "Its share of the requests.",
        "required in the list",
    ),
)

ENDPOINT = (
    Field(
        "metadata.name",
        "text that a header carries, without spaces at its ends",
        "Identifier of the endpoint.",
    ),
    Field("spec.address", ADDRESS, "Where it serves requests."),
    Field("spec.info.service", "text", "Its service."),
    Field("spec.info.zone", "text", "Its availability zone."),
    Field("spec.info.version", "text", "Version of its software."),
    Field("spec.info.slots", "a whole number from 1", "Requests that it runs at once."),
    Field("spec.status.state", "`ready` or `draining`", "Whether it leaves."),
    Field("spec.status.coldLeftS", "seconds", "Rest of its cold start."),
    Field(
        "spec.status.seq",
        "a whole number",
        "How often it has written its entry; tells a restored entry from a new one.",
    ),
    Field("spec.born", "milliseconds", "Start of the process.", "0"),
    Field("status", "a mapping", "Replaces `spec.status`.", "empty"),
)


def settings_page() -> str:
    """Return the reference page for the settings file and the store's documents."""
    lines = [
        "# Settings, configuration and endpoints",
        "",
        "Made from the code by `arbutusflow reference settings`; do not edit.",
        "",
        "## Settings file",
        "",
        "TOML, named by the environment variable `ARBUTUSFLOW_CONFIG`. It is read",
        "again when it changes and at SIGHUP; fields with `reload` take effect then,",
        "others need a restart. A file with an error changes nothing.",
        "",
        *_table(SETTINGS),
        "## Configuration",
        "",
        "The operator's document in the store. A version with an error is logged and",
        "left out; the one before it stays in force.",
        "",
        *_table(CONFIGURATION),
        "## Entry of an endpoint",
        "",
        "Endpoints write one document each. An entry with an error is left out.",
        "",
        *_table(ENDPOINT),
    ]
    return "\n".join(lines).rstrip() + "\n"


def _table(fields: Iterable[Field]) -> list[str]:
    lines = ["| field | accepted | default | meaning |", "|---|---|---|---|"]
    lines += [
        f"| `{item.path}` | {item.accepted} | {item.default} | {item.meaning} |"
        for item in fields
    ]
    return [*lines, ""]
