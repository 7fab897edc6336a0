"""HTTP operations on files."""

import re

from hollyspan_core.errors import FileNotFoundInWorkspaceError
from hollyspan_core.errors import InvalidRequestError

from ..http import build_operations
from ..http import PacedWriter
from .answer import build_file_object
from .content import open_content
from .deletion import delete_file
from .listing import list_files

__all__ = ["build_handler"]

FILE_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,128}")


def build_handler(runtime):
    """Build the handler of ``/v1/files`` and the paths below it.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    callable
        Handler of an AsyncResource.
    """

    return build_operations(runtime, find_operation=find_operation)


def find_operation(method, path):
    if path and not FILE_PATTERN.fullmatch(path[0]):
        raise FileNotFoundInWorkspaceError("no such file")
    shape = (method.decode(), len(path), path[1:])
    if shape == ("POST", 0, []):
        return answer_upload
    if shape == ("GET", 0, []):
        return answer_list
    if shape == ("GET", 1, []):
        return answer_file
    if shape == ("DELETE", 1, []):
        return answer_deletion
    if shape == ("GET", 2, ["content"]):
        return answer_content
    raise InvalidRequestError("no such operation on files")


async def answer_upload(runtime, request, workspace, path):
    result = await request.upload
    if isinstance(result, Exception):
        raise result
    return build_file_object(result)


async def answer_list(runtime, request, workspace, path):
    return await list_files(runtime.store, workspace, arguments=request.args)


async def answer_file(runtime, request, workspace, path):
    content = await open_content(runtime, workspace, path[0])
    return content.description


async def answer_deletion(runtime, request, workspace, path):
    await delete_file(runtime, workspace, path[0])
    return {"id": path[0], "object": "file", "deleted": True}


async def answer_content(runtime, request, workspace, path):
    content = await open_content(runtime, workspace, path[0])
    request.setHeader(b"content-type", b"application/octet-stream")
    size = content.description["bytes"]
    request.setHeader(b"content-length", str(size).encode())
    writer = PacedWriter(request=request)
    try:
        async for piece in content.read():
            await writer.write(piece)
    finally:
        writer.finish()
