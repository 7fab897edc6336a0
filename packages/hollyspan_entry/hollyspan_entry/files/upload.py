"""Receipt and storage of uploads."""

import hashlib
import time

from twisted.internet import defer
import zstandard

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreKeyExistsError

from ..http import identify_caller
from .data import delete_data
from .form import find_boundary
from .form import FormReader
from .keys import build_chunk_key
from .keys import build_manifest_key
from .keys import derive_file_id
from .keys import FILE_PREFIX
from .lines import LineChecker
from .manifest import decode_manifest
from .manifest import encode_manifest
from .manifest import FileManifest
from .splitter import ChunkSplitter

__all__ = ["receive_upload"]

PURPOSE = "batch"


async def receive_upload(runtime, request, body):
    """Store the file of an upload while it arrives.

    Parameters
    ----------
    runtime : Runtime
    request : UploadRequest
        Its headers have arrived.
    body : BodyStream

    Returns
    -------
    FileManifest
        Manifest of the new file, or of the same file if it was uploaded
        before with the same Idempotency-Key.

    Raises
    ------
    HollyspanError
        The upload failed; raised after the whole body has been read.
    """
    try:
        workspace = identify_caller(request, runtime=runtime)
        upload = Upload(runtime=runtime, workspace=workspace, request=request)
        return await upload.run(body)
    except HollyspanError as error:
        while await body.read():
            pass
        # An upload alone does not run any item.
        error.outcome = Outcome.NOT_RUN
        raise


class Upload:
    """An upload in progress.

    Parameters
    ----------
    runtime : Runtime
    workspace : str
    request : UploadRequest
    """

    __slots__ = (
        "store",
        "workspace",
        "file",
        "data",
        "chunks",
        "items",
        "size",
        "digest",
        "checker",
        "splitter",
        "form",
        "compressor",
        "committing",
    )

    def __init__(self, *, runtime, workspace, request):
        self.store = runtime.store
        self.workspace = workspace
        self.data = runtime.create_token().hex()
        key = request.getHeader("idempotency-key")
        self.file = (
            derive_file_id(workspace, key) if key else FILE_PREFIX + self.data
        )
        self.chunks = []
        self.items = []
        self.size = 0
        self.digest = hashlib.sha256()
        self.checker = LineChecker()
        self.splitter = ChunkSplitter(
            checker=self.checker,
            chunk_items=runtime.configurations.current.get(
                "batch.chunk_items",
                scope=Scope(workspace=workspace),
                now=time.time(),
            ),
            on_chunk=lambda content, items: self.chunks.append(
                (content, items)
            ),
        )
        self.form = FormReader(
            boundary=find_boundary(request.getHeader("content-type")),
            on_data=self.process_data,
        )
        self.compressor = zstandard.ZstdCompressor()
        self.committing = False

    async def run(self, body):
        """Read the body to its end and store the file."""
        stored = await self.find_existing()
        try:
            await self.read(body, persist=stored is None)
            if stored is None:
                stored = await self.create_manifest()
        except BaseException:
            # The manifest may exist although its write reported a failure.
            if not self.committing:
                self.discard()
            raise
        if stored.data != self.data:
            self.discard()
        if stored.digest != self.digest.hexdigest():
            raise IdempotencyMismatchError(
                "the Idempotency-Key was used with another file"
            )
        return stored

    async def find_existing(self):
        entry = await self.store.get(
            build_manifest_key(self.workspace, self.file)
        )
        return entry and decode_manifest(entry.content)

    async def read(self, body, *, persist):
        while True:
            data = await body.read()
            self.form.feed(data)
            if not data:
                break
            await self.write_chunks(persist=persist)
        self.check_form()
        self.splitter.finish()
        await self.write_chunks(persist=persist)

    def process_data(self, data):
        self.size += len(data)
        self.digest.update(data)
        self.splitter.feed(data)

    def check_form(self):
        if self.form.filename is None:
            raise InvalidRequestError(
                "the form contains no file", param="file"
            )
        if self.form.fields.get("purpose") != PURPOSE:
            raise InvalidRequestError(
                f"purpose is not {PURPOSE}", param="purpose"
            )

    async def write_chunks(self, *, persist):
        """Write the complete chunks."""
        chunks, self.chunks[:] = list(self.chunks), []
        for content, items in chunks:
            key = build_chunk_key(self.data, len(self.items))
            self.items.append(items)
            if persist:
                await self.store.create(key, self.compressor.compress(content))

    async def create_manifest(self):
        """Write the manifest, or return the one that exists already."""
        manifest = FileManifest(
            file=self.file,
            data=self.data,
            filename=self.form.filename,
            purpose=PURPOSE,
            size=self.size,
            digest=self.digest.hexdigest(),
            created_at=int(time.time()),
            items=self.items,
            urls=self.checker.urls,
            models=self.checker.models,
        )
        key = build_manifest_key(self.workspace, self.file)
        self.committing = True
        try:
            await self.store.create(key, encode_manifest(manifest))
        except StoreKeyExistsError as error:
            return decode_manifest(error.entry.content)
        return manifest

    def discard(self):
        """Delete the stored chunks; ignore failures of the store."""
        deletion = delete_data(self.store, self.data)
        defer.ensureDeferred(deletion).addErrback(
            lambda failure: failure.trap(HollyspanError)
        )
