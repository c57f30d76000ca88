"""State of an instance for operators, served as JSON next to the metrics."""

import msgspec

STATE_PATH = "/state"


class EvacuatedZone(msgspec.Struct, frozen=True):
    """An availability zone that is evacuated, as the instance knows it."""

    zone: str
    seconds: float  # Since the instance learned of it.
    endpoints: int
    endpoints_with_requests: int  # Of any instance.
    endpoints_with_keys: int
    services_only_there: tuple[str, ...]  # Without a ready endpoint in other zones.


class EndpointFigure(msgspec.Struct, frozen=True):
    """What was learned of an endpoint."""

    seconds: float  # Time of a request while the endpoint has room.
    in_flight: float  # Requests at once that take no longer than that.
    answers: float  # Decayed number of answers that the figure is based on.
    changed_seconds: float  # Since it last changed by over half.


class InstanceState(msgspec.Struct, frozen=True):
    """What an instance is doing. Times are in seconds."""

    instance: str
    zone: str
    phase: str  # Name of a `Phase`, in lower case.
    phase_seconds: float  # Since it entered the phase.
    requests: int  # Read completely or in part, and not answered.
    connections: int  # Of callers.
    ends_in_seconds: float | None  # The latest end of a stop; None if there is none.
    configuration: int | None  # Version in force.
    configuration_seconds: float | None  # Since it is in force.
    evacuated_zones: tuple[EvacuatedZone, ...] = ()
    # By endpoint with a figure; empty if none is learned.
    rooms: dict[str, EndpointFigure] = {}
