"""Encoding of messages between gateways."""

from pathlib import Path

import capnp

from hollyspan_core.errors import PeerMessageError

from .message import FleetMessage
from .message import UpstreamLoad
from .message import UpstreamTotal

__all__ = ["decode_message", "encode_message"]

# The import hook of pycapnp would search all of sys.path.
capnp.remove_import_hook()

WireMessage = capnp.load(
    str(Path(__file__).with_name("fleet.capnp"))
).FleetMessage


def encode_message(message):
    """Encode a message as one datagram.

    Parameters
    ----------
    message : FleetMessage

    Returns
    -------
    bytes
    """
    wire = WireMessage.new_message(
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        isFull=message.is_full,
        configuration=message.configuration,
        upstreams=message.upstreams,
        runsBatch=message.runs_batch,
        isLeaving=message.is_leaving,
        reachesStore=message.reaches_store,
        wantsReply=message.wants_reply,
        region=message.region,
        beatMs=round(message.beat_seconds * 1000),
    )
    if message.loads:
        loads = wire.init("loads", len(message.loads))
        for target, load in zip(loads, message.loads):
            target.upstream = load.upstream
            target.online = load.online
            target.batch = load.batch
            target.isUnreachable = load.is_unreachable
            if load.reported is not None:
                target.isReported = True
                target.running, target.waiting = load.reported
    if message.totals:
        totals = wire.init("totals", len(message.totals))
        for target, total in zip(totals, message.totals):
            target.upstream = total.upstream
            target.online = total.online
            target.batch = total.batch
    if message.items:
        wire.items = list(message.items)
    if message.heard:
        wire.heard = list(message.heard)
    return wire.to_bytes_packed()


def decode_message(datagram):
    """Decode a datagram.

    Parameters
    ----------
    datagram : bytes

    Returns
    -------
    FleetMessage

    Raises
    ------
    PeerMessageError
        The bytes are no message.
    """
    try:
        wire = WireMessage.from_bytes_packed(datagram)
        return FleetMessage(
            sender=wire.sender,
            incarnation=wire.incarnation,
            sequence=wire.sequence,
            is_full=wire.isFull,
            loads=[
                UpstreamLoad(
                    upstream=load.upstream,
                    online=load.online,
                    batch=load.batch,
                    reported=read_reported(load),
                    is_unreachable=load.isUnreachable,
                )
                for load in wire.loads
            ],
            configuration=wire.configuration,
            upstreams=wire.upstreams,
            runs_batch=wire.runsBatch,
            is_leaving=wire.isLeaving,
            reaches_store=wire.reachesStore,
            items=list(wire.items),
            wants_reply=wire.wantsReply,
            heard=list(wire.heard),
            region=wire.region,
            beat_seconds=wire.beatMs / 1000,
            totals=[
                UpstreamTotal(
                    upstream=total.upstream,
                    online=total.online,
                    batch=total.batch,
                )
                for total in wire.totals
            ],
        )
    except (capnp.KjException, ValueError) as fault:
        raise PeerMessageError("a datagram cannot be decoded") from fault


def read_reported(load):
    return (load.running, load.waiting) if load.isReported else None
