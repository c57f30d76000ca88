"""Levels of the log, apart from it so that settings load without `eliot`."""

import enum


class Level(enum.Enum):
    """Importance of a line, from the least to the most important."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
