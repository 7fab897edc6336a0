"""Tree of the HTTP resources."""

from twisted.web import resource

__all__ = ["add_resource"]


def add_resource(root, path, child):
    """Put a resource below others, which are made where they are missing.

    Parameters
    ----------
    root : twisted.web.resource.Resource
    path : str
        Path below the root, such as ``v1/files``.
    child : twisted.web.resource.Resource
    """
    *parents, name = path.encode().split(b"/")
    for part in parents:
        known = root.getStaticEntity(part)
        if known is None:
            known = resource.Resource()
            root.putChild(part, known)
        root = known
    root.putChild(name, child)
