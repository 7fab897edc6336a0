"""Differences between two configuration documents."""

__all__ = ["Difference", "list_differences"]


class Difference:
    """One value that differs between two documents.

    Parameters
    ----------
    path : str
        Where it stands, as in ``defaults.batch.harm_weight``.
    scope : str
        For whom it holds, in words.
    before, after : object
        The values; None where there is none.
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
    """List what a new document changes, and for whom.

    Parameters
    ----------
    before, after : dict
        Documents that fit the schema.

    Returns
    -------
    list of Difference
    """
    changes = list(compare_defaults(before, after))
    changes.extend(compare_named(before, after, section="services"))
    changes.extend(
        compare_lists(before, after, section="objectives", name="name")
    )
    changes.extend(compare_lists(before, after, section="keys", name="digest"))
    changes.extend(
        compare_lists(before, after, section="exceptions", name="id")
    )
    return changes


def compare_defaults(before, after):
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


def compare_named(before, after, *, section):
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
    def index(document):
        return {section: {entry[name]: entry for entry in document[section]}}

    for change in compare_named(index(before), index(after), section=section):
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
