"""Holder of the configuration in force."""

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Keeps the highest generation that was seen.

    Attributes
    ----------
    current : Configuration or None
        None until the first one is known.
    """

    __slots__ = ("current", "listeners")

    def __init__(self):
        self.current = None
        self.listeners = []

    def subscribe(self, listener):
        """Call a function with each configuration that comes in force.

        Parameters
        ----------
        listener : callable
            Takes a Configuration.
        """
        self.listeners.append(listener)

    def apply(self, configuration):
        """Put a configuration in force if its generation is higher.

        Parameters
        ----------
        configuration : Configuration

        Returns
        -------
        bool
            False when an equal or higher generation is in force.
        """
        current = self.current
        if current and current.generation >= configuration.generation:
            return False
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)
        return True
