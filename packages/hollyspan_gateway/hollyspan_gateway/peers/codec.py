"""Encoding and decoding of messages between gateways."""

import math
from pathlib import Path

import capnp

from hollyspan_core.errors import PeerMessageError
from hollyspan_policy.workspace_rates import RateAnswer
from hollyspan_policy.workspace_rates import RateUse

from ..crashes.notices import BlockNotice
from ..crashes.notices import EndNotice
from ..crashes.notices import OtherEndNotice
from ..crashes.notices import SurvivalNotice
from ..incarnations.notice import UnprovenNotice
from ..intake import MAX_DATAGRAM_WORDS
from ..streams.notice import StreamNotice
from ..upstreams.load_report import LoadReport
from ..upstreams.pace_report import PaceReport
from ..upstreams.rate_limit import LimitReport
from ..workspaces.notice import RateNotice
from .message import FleetMessage
from .message import UpstreamLoad
from .message import UpstreamTotal
from .message import WorkspaceLoad

__all__ = ["decode_message", "encode_message"]

MAX_AGE_MS = 2**32 - 1
KIB = 1024
MAX_ROOM_KIB = 2**32 - 2
MAX_LOAD_COUNT = 2**16 - 1
MAX_COUNT = 2**32 - 1
MAX_RECENT = 2**16 - 1
MAX_DEMAND = 2**32 - 1
MAX_PACE = 2**16 - 1

# The import hook of pycapnp would search all of sys.path for schemas.
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
        beatMs=round(message.heartbeat_seconds * 1000),
        runsOnline=message.runs_online,
        # Less than one in a hundred counts, too.
        lostPercent=math.ceil(message.lost_share * 100),
        memoryMs=encode_age(message.memory_seconds),
        tellsWaiting=message.tells_waiting,
        jobs=message.jobs,
        storeAgeMs=encode_store_age(message.store_age),
        configurationSeenMs=encode_store_age(message.configuration_age),
        upstreamsSeenMs=encode_store_age(message.upstreams_age),
        jobsSeenMs=encode_store_age(message.jobs_age),
        jobRoomKib=encode_room(message.job_room),
    )
    if message.loads:
        loads = wire.init("loads", len(message.loads))
        for encoded, load in zip(loads, message.loads):
            encoded.upstream = load.upstream
            encoded.online = load.online
            encoded.batch = load.batch
            encoded.isUnreachable = load.is_unreachable
            encoded.departure = load.departure
            encode_limit(encoded, load.limit)
            encode_reported(encoded, load.reported)
            encoded.runPercent = encode_hundredths(load.run_slowness)
            encoded.heardCentiseconds = encode_hundredths(load.heard_age)
            encode_pace(encoded, load.pace)
    if message.totals:
        totals = wire.init("totals", len(message.totals))
        for encoded, total in zip(totals, message.totals):
            encoded.upstream = total.upstream
            encoded.online = total.online
            encoded.batch = total.batch
            encode_limit(encoded, total.limit)
            encode_pace(encoded, total.pace)
    if message.items:
        wire.items = list(message.items)
    if message.progress:
        wire.progress = list(message.progress)
    if message.finished:
        wire.finished = list(message.finished)
    if message.crowded_jobs:
        wire.crowdedJobs = list(message.crowded_jobs)
    if message.live_workers:
        wire.heard = list(message.live_workers)
    if message.departures:
        wire.departures = list(message.departures)
    if message.ends or message.survivals or message.blocks:
        encode_notices(wire, message)
    if message.streams:
        wire.streams = [
            {"key": notice.key, "version": notice.version}
            for notice in message.streams
        ]
    if message.asked_streams:
        wire.askedStreams = list(message.asked_streams)
    if message.other_ends:
        wire.otherEnds = [
            {
                "upstream": notice.upstream,
                "ageMs": encode_age(notice.age),
                "hasUnread": notice.has_unread,
            }
            for notice in message.other_ends
        ]
    if message.unproven:
        wire.unproven = [
            {"upstream": notice.upstream, "ageMs": encode_age(notice.age)}
            for notice in message.unproven
        ]
    if message.rate_notices:
        uses = wire.init("workspaceUses", len(message.rate_notices))
        for encoded, notice in zip(uses, message.rate_notices):
            encode_rate_notice(encoded, notice)
    if message.workspace_loads:
        wire.workspaceLoads = [
            {
                "workspace": load.workspace,
                "demand": min(MAX_DEMAND, round(load.demand)),
            }
            for load in message.workspace_loads
        ]
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
        The bytes are not a valid message.
    """
    try:
        # A few bytes may name many entries, since zeros are packed.
        wire = WireMessage.from_bytes_packed(
            datagram, traversal_limit_in_words=MAX_DATAGRAM_WORDS
        )
        if not (wire.sender and wire.incarnation):
            raise PeerMessageError("a datagram names no sender or start")
        message = FleetMessage(
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
                    departure=load.departure,
                    limit=read_limit(load),
                    run_slowness=read_hundredths(load.runPercent),
                    heard_age=read_hundredths(load.heardCentiseconds),
                    pace=read_pace(load),
                )
                for load in wire.loads
            ],
            configuration=wire.configuration,
            store_age=read_store_age(wire.storeAgeMs),
            upstreams=wire.upstreams,
            jobs=wire.jobs,
            configuration_age=read_store_age(wire.configurationSeenMs),
            upstreams_age=read_store_age(wire.upstreamsSeenMs),
            jobs_age=read_store_age(wire.jobsSeenMs),
        )
        if message.is_full:
            read_state(message, wire)
        read_notices(message, wire)
        return message
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("a datagram cannot be decoded") from error


def read_state(message, wire):
    """Read the state of the sender, which only full messages carry."""
    message.runs_batch = wire.runsBatch
    message.is_leaving = wire.isLeaving
    message.reaches_store = wire.reachesStore
    message.items = list(wire.items)
    message.progress = list(wire.progress)
    message.tells_waiting = wire.tellsWaiting
    message.finished = list(wire.finished)
    message.crowded_jobs = list(wire.crowdedJobs)
    message.job_room = read_room(wire.jobRoomKib)
    message.wants_reply = wire.wantsReply
    message.live_workers = list(wire.heard)
    message.region = wire.region
    message.departures = list(wire.departures)
    message.heartbeat_seconds = wire.beatMs / 1000
    message.runs_online = wire.runsOnline
    message.lost_share = wire.lostPercent / 100
    message.memory_seconds = (
        math.inf if wire.memoryMs == MAX_AGE_MS else wire.memoryMs / 1000
    )
    message.totals = [
        UpstreamTotal(
            upstream=total.upstream,
            online=total.online,
            batch=total.batch,
            limit=read_limit(total),
            pace=read_pace(total),
        )
        for total in wire.totals
    ]


def encode_notices(wire, message):
    """Encode the notices about ended upstreams and blocks."""
    wire.ends = [
        {
            "upstream": notice.upstream,
            "ageMs": encode_age(notice.age),
            "requests": [list(keys) for keys in notice.requests],
            "fingerprints": list(notice.fingerprints),
            "isConfirmed": notice.is_confirmed,
        }
        for notice in message.ends
    ]
    wire.survivals = [
        {"keys": list(notice.keys), "ageMs": encode_age(notice.age)}
        for notice in message.survivals
    ]
    wire.blocks = [
        {
            "keys": list(notice.keys),
            "ageMs": encode_age(notice.age),
            "failedTrials": notice.failed_trials,
            "voidTrials": notice.void_trials,
            "isTried": notice.is_tried,
        }
        for notice in message.blocks
    ]


def read_notices(message, wire):
    """Read the notices, which any message may carry.

    Notes
    -----
    Most messages tell of loads only, and a list that is not there takes as
    long to read as a load.
    """
    for name, read in NOTICE_READERS:
        if wire._has(name):
            read(message, wire)


def read_ends(message, wire):
    message.ends = [
        EndNotice(
            upstream=end.upstream,
            requests=[tuple(keys) for keys in end.requests],
            fingerprints=list(end.fingerprints),
            age=end.ageMs / 1000,
            is_confirmed=end.isConfirmed,
        )
        for end in wire.ends
    ]


def read_survivals(message, wire):
    message.survivals = [
        SurvivalNotice(keys=tuple(survival.keys), age=survival.ageMs / 1000)
        for survival in wire.survivals
    ]


def read_blocks(message, wire):
    message.blocks = [
        BlockNotice(
            keys=tuple(block.keys),
            age=block.ageMs / 1000,
            failed_trials=block.failedTrials,
            void_trials=block.voidTrials,
            is_tried=block.isTried,
        )
        for block in wire.blocks
    ]


def read_streams(message, wire):
    message.streams = [
        StreamNotice(key=notice.key, version=notice.version)
        for notice in wire.streams
    ]


def read_asked_streams(message, wire):
    message.asked_streams = list(wire.askedStreams)


def read_other_ends(message, wire):
    message.other_ends = [
        OtherEndNotice(
            upstream=end.upstream,
            age=end.ageMs / 1000,
            has_unread=end.hasUnread,
        )
        for end in wire.otherEnds
    ]


def read_unproven(message, wire):
    message.unproven = [
        UnprovenNotice(upstream=end.upstream, age=end.ageMs / 1000)
        for end in wire.unproven
    ]


def read_rate_notices(message, wire):
    message.rate_notices = [
        read_rate_notice(each) for each in wire.workspaceUses
    ]


def read_workspace_loads(message, wire):
    message.workspace_loads = [
        WorkspaceLoad(workspace=load.workspace, demand=float(load.demand))
        for load in wire.workspaceLoads
    ]


NOTICE_READERS = (
    ("ends", read_ends),
    ("survivals", read_survivals),
    ("blocks", read_blocks),
    ("streams", read_streams),
    ("askedStreams", read_asked_streams),
    ("otherEnds", read_other_ends),
    ("unproven", read_unproven),
    ("workspaceUses", read_rate_notices),
    ("workspaceLoads", read_workspace_loads),
)


def encode_rate_notice(wire, notice):
    """Encode the use of a workspace's rate or a keeper's answer."""
    wire.workspace = notice.workspace
    if notice.answer is not None:
        wire.isAnswer = True
        wire.fraction = notice.answer.fraction
        if notice.answer.share is not None:
            wire.isShareTold = True
            wire.share = notice.answer.share
        return
    wire.admitted = min(MAX_COUNT, max(0, notice.use.admitted))
    wire.refused = min(MAX_COUNT, notice.use.refused)
    wire.demand = notice.use.demand
    wire.fraction = notice.use.fraction
    wire.recent = min(MAX_RECENT, max(0, notice.use.recent))


def read_rate_notice(wire):
    """Return the RateNotice of a workspace."""
    if wire.isAnswer:
        answer = RateAnswer(
            fraction=wire.fraction,
            share=wire.share if wire.isShareTold else None,
        )
        return RateNotice(workspace=wire.workspace, answer=answer)
    use = RateUse(
        admitted=wire.admitted,
        refused=wire.refused,
        demand=wire.demand,
        recent=wire.recent,
        fraction=wire.fraction,
    )
    return RateNotice(workspace=wire.workspace, use=use)


def encode_limit(wire, report):
    """Encode what an upstream has said of its rate limit."""
    if report is None:
        return
    limit = wire.init("limit")
    limit.ageMs = encode_age(report.age)
    if report.per_second is not None:
        limit.isSet = True
        limit.perSecond = report.per_second


def read_limit(wire):
    """Return the LimitReport in a load or a total, None without one."""
    if not wire._has("limit"):
        return None
    limit = wire.limit
    return LimitReport(
        per_second=limit.perSecond if limit.isSet else None,
        age=limit.ageMs / 1000,
    )


def encode_pace(wire, report):
    """Encode what the answers of an upstream show of its pace."""
    if report is None:
        return
    pace = wire.init("pace")
    pace.ageMs = encode_age(report.age)
    # Zero says that it has ended.
    pace.inFlight = min(MAX_PACE, report.allowed or 0)


def read_pace(wire):
    """Return the PaceReport in a load or a total, None without one."""
    if not wire._has("pace"):
        return None
    pace = wire.pace
    return PaceReport(
        allowed=pace.inFlight or None,
        age=math.inf if pace.ageMs == MAX_AGE_MS else pace.ageMs / 1000,
    )


def encode_age(seconds):
    """Return an age in whole milliseconds, up to about 49 days."""
    return round(min(MAX_AGE_MS, max(0.0, seconds * 1000)))


def encode_store_age(seconds):
    """Return the age of a confirmation in milliseconds, 0 for none."""
    if seconds is None:
        return 0
    return min(MAX_AGE_MS, max(1, math.ceil(seconds * 1000)))


def read_store_age(milliseconds):
    """Return the age of a confirmation in seconds, None if it is not told."""
    return milliseconds / 1000 if milliseconds else None


def encode_room(size):
    """Return the room for jobs in KiB and 1, 0 if it is not told."""
    return 0 if size is None else min(MAX_ROOM_KIB, size // KIB) + 1


def read_room(kibibytes):
    """Return the room for jobs in bytes, None if it is not told."""
    return (kibibytes - 1) * KIB if kibibytes else None


def encode_reported(wire, report):
    """Encode the load that an upstream has told."""
    if report is None:
        return
    wire.isReported = True
    wire.running = min(MAX_LOAD_COUNT, report.running)
    wire.waiting = min(MAX_LOAD_COUNT, report.waiting)
    wire.slownessPercent = encode_hundredths(report.slowness)


def read_reported(wire):
    """Return the LoadReport in a load, None without one."""
    if not wire.isReported:
        return None
    return LoadReport(
        running=wire.running,
        waiting=wire.waiting,
        slowness=read_hundredths(wire.slownessPercent),
    )


def encode_hundredths(factor):
    """Return a factor or time in hundredths as far as it fits, 0 for None."""
    if factor is None:
        return 0
    return max(1, round(min(MAX_LOAD_COUNT, factor * 100)))


def read_hundredths(hundredths):
    """Return what a number of hundredths stands for, None for 0."""
    return hundredths / 100 if hundredths else None
