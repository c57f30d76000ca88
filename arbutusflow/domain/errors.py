"""Exception tree of the project.

Every error that reaches an operator is one sentence that says what to do.
"""


class ArbutusflowError(Exception):
    """Base of all errors that the project raises itself."""


class SettingsError(ArbutusflowError):
    """A settings or configuration file cannot be used as it is."""


class ConfigurationError(ArbutusflowError):
    """A configuration document or patch breaks a rule."""


class RefusedError(ArbutusflowError):
    """An entry instance refused what an operator asked for; nothing changed."""


class AdminUnreachableError(ArbutusflowError):
    """An entry instance was not reached; nothing changed."""


class OutcomeUnknownError(ArbutusflowError):
    """What an operator asked for may or may not have taken effect."""


class PlatformError(ArbutusflowError):
    """A platform call did not give a usable answer."""


class PlatformUnavailableError(PlatformError):
    """The platform refused the connection or answered with a server error.

    A conditional update that ends this way may still have taken effect.
    """


class HistoryGoneError(PlatformError):
    """The store no longer holds the changes since a revision."""


class ConflictError(PlatformError):
    """A conditional write met another revision; `current` is the object, if known."""

    def __init__(self, current: object = None) -> None:
        super().__init__("the object has another revision")
        self.current = current


class EndpointError(ArbutusflowError):
    """An endpoint did not give a usable answer."""


class PeerError(ArbutusflowError):
    """Another entry instance did not give a usable answer."""
