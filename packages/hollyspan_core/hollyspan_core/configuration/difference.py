"""Differences between two configuration documents."""

__all__ = ["Difference", "list_differences"]


class Difference:
    """One value that differs between two documents.

    Parameters
    ----------
    path : str
        Path of the value in the document, as in
        ``defaults.batch.harm_weight``.
    scope : str
        Description of the scope that the value applies to.
    before, after : object
        Old and new value; None where the document has none.
    """

    __slots__ = ("path", "scope", "before", "after")

    def __init__(self, *, path, scope, before, after):
        self.path = path
        self.scope = scope
        self.before = before
        self.after = after

    def to_json(self):
        """Return the difference as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


def list_differences(before, after):
    """List the values that a new document changes, with their scopes.

    Parameters
    ----------
    before, after : dict
        Documents that are valid against the schema.

    Returns
    -------
    list of Difference
    """
    changes = list(compare_defaults(before, after))
    changes.extend(compare_mappings(before, after, section="services"))
    changes.extend(
        compare_lists(before, after, section="objectives", name="name")
    )
    changes.extend(compare_lists(before, after, section="keys", name="digest"))
    changes.extend(
        compare_lists(before, after, section="exceptions", name="id")
    )
    return changes


def compare_defaults(before, after):
    """Yield the differences between the default values."""
    for section, values in after["defaults"].items():
        for key, value in values.items():
            old = before["defaults"].get(section, {}).get(key)
            if old != value:
                yield Difference(
                    path=f"defaults.{section}.{key}",
                    scope="everyone without an exception",
                    before=old,
                    after=value,
                )


def compare_mappings(before, after, *, section):
    """Yield the differences of a section that maps names to entries."""
    names = sorted(before[section].keys() | after[section].keys())
    for name in names:
        old = before[section].get(name)
        new = after[section].get(name)
        if old != new:
            yield Difference(
                path=f"{section}.{name}",
                scope=f"service {name}",
                before=old,
                after=new,
            )


def compare_lists(before, after, *, section, name):
    """Yield the differences of a section whose entries hold their name."""

    def index_by_name(document):
        return {section: {entry[name]: entry for entry in document[section]}}

    for change in compare_mappings(
        index_by_name(before), index_by_name(after), section=section
    ):
        entry = change.after or change.before
        change.scope = describe_scope(entry, section=section)
        yield change


def describe_scope(entry, *, section):
    if section == "exceptions":
        pairs = sorted(entry["scope"].items())
        return ", ".join(f"{field} {name}" for field, name in pairs)
    if section == "keys":
        return f"workspace {entry['workspace']}"
    return "the fleet"
