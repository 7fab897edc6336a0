"""Tree of HTTP resources."""

from twisted.web import resource

__all__ = ["add_resource"]


def add_resource(root, path, child):
    """Add a resource at a path, creating missing parent resources.

    Parameters
    ----------
    root : twisted.web.resource.Resource
    path : str
        Path below the root, such as ``v1/files``.
    child : twisted.web.resource.Resource
    """
    *parents, name = path.encode().split(b"/")
    for part in parents:
        existing = root.getStaticEntity(part)
        if existing is None:
            existing = resource.Resource()
            root.putChild(part, existing)
        root = existing
    root.putChild(name, child)
