"""Storage of the current configuration."""

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Stores the configuration with the highest generation seen so far.

    Attributes
    ----------
    current : Configuration or None
        Configuration in force; None until the first one is loaded.
    """

    __slots__ = ("current", "listeners")

    def __init__(self):
        self.current = None
        self.listeners = []

    def subscribe(self, listener):
        """Register a function that is called with each new configuration.

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
            False if an equal or higher generation is already in force.
        """
        current = self.current
        if current and current.generation >= configuration.generation:
            return False
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)
        return True
