"""Log levels, in a module of their own so that settings load without `eliot`."""

import enum


class Level(enum.Enum):
    """Severity of a log line, in ascending order."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
