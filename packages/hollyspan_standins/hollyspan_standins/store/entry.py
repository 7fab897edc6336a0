"""Entry of the key-value store."""

__all__ = ["Entry"]


class Entry:
    """Key with its value, revisions, version and lease (0 for none)."""

    __slots__ = (
        "key",
        "value",
        "create_revision",
        "mod_revision",
        "version",
        "lease",
    )

    def __init__(
        self, *, key, value, create_revision, mod_revision, version, lease
    ):
        self.key = key
        self.value = value
        self.create_revision = create_revision
        self.mod_revision = mod_revision
        self.version = version
        self.lease = lease
