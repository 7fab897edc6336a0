"""Cost of ways to learn which software version began a stream.

    python -m benchmarks.stream_versions [--gateways=12,80,390]

Counts the messages of each way at a steady rate of streams, with their size as
encoded and the processor time to encode and decode them here.
"""

import sys
import time

import fire

from hollyspan_gateway.peers import decode_message
from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.streams import StreamNotice
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import is_small_fleet
from hollyspan_policy.streams import choose_keepers
from hollyspan_policy.streams import choose_respondents

__all__ = ["compare"]

# Streams a second at one gateway, of the size to design for.
STREAMS_PER_GATEWAY = 2_400 / 390
# Shares of streams that are taken up again, and that begin elsewhere than at
# the version that the request alone tells, while versions change.
RESUMED_SHARE = 0.05
EXCEPTION_SHARE = 0.3
# Share of the time in which two versions of a service serve.
RELEASE_SHARE = 0.1
# Time for which a stream is remembered.
RECORD_TTL_S = 120.0
REPETITIONS = 2_000
# Headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28


def build_message(keys):
    return FleetMessage(
        sender=2**63 + 5,
        incarnation=1_790_000_000_000_000,
        sequence=100_000,
        is_full=False,
        loads=[],
        streams=[StreamNotice(key=key, version=2**63 + 9) for key in keys],
    )


def measure_message(key_count):
    """Return bytes, and seconds to encode and to decode, of one message."""
    keys = [hash_parts(str(number)) for number in range(key_count)]
    started = time.process_time()
    for _ in range(REPETITIONS):
        datagram = encode_message(build_message(keys))
    encoded = time.process_time()
    for _ in range(REPETITIONS):
        decode_message(datagram)
    decoded = time.process_time()
    return (
        len(datagram) + DATAGRAM_HEADER_BYTES,
        (encoded - started) / REPETITIONS,
        (decoded - encoded) / REPETITIONS,
    )


def measure_record():
    """Return the bytes of one remembered stream."""
    records = {hash_parts(str(n)): (2**63 + n, float(n)) for n in range(1000)}
    values = sum(
        sys.getsizeof(key)
        + sys.getsizeof(record)
        + sum(map(sys.getsizeof, record))
        for key, record in records.items()
    )
    return (values + sys.getsizeof(records)) / len(records)


def count_recipients(gateways):
    """Return the keepers, messages to encode and keys told of one stream."""
    names = [f"{number:016x}" for number in range(gateways - 1)]
    keepers = choose_keepers(hash_parts("a"), hash_parts("b"), names)
    encoded = len(set(keepers.values()))
    told = sum(map(len, keepers.values()))
    return len(keepers), encoded, told


def list_ways(gateways):
    """Return messages and records of one stream for each way.

    Returns
    -------
    dict
        (messages encoded, messages received, records kept) by name.
    """
    others = gateways - 1
    keepers, encoded, told = count_recipients(gateways)
    asked = len(choose_respondents(7, [f"{n:016x}" for n in range(others)]))
    questions = RESUMED_SHARE * asked
    return {
        "told to all": (1, others, 2 * gateways),
        "computed, exceptions told to all": (
            EXCEPTION_SHARE,
            EXCEPTION_SHARE * others,
            EXCEPTION_SHARE * 2 * gateways,
        ),
        "keepers (chosen)": (
            encoded + RESUMED_SHARE + questions,
            keepers + 2 * questions,
            told + 2,
        ),
        "keepers, while two versions serve": (
            RELEASE_SHARE * (encoded + RESUMED_SHARE + questions),
            RELEASE_SHARE * (keepers + 2 * questions),
            RELEASE_SHARE * (told + 2),
        ),
    }


def compare(*, gateways=(12, 80, 390)):
    """Print the cost for each gateway of each way to learn a version."""
    size, encode_s, decode_s = measure_message(2)
    record_bytes = measure_record()
    print(
        f"message of two keys: {size} bytes, {encode_s * 1e6:.0f} us to "
        f"encode, {decode_s * 1e6:.0f} us to decode; record: "
        f"{record_bytes:.0f} bytes"
    )
    for count in gateways:
        kind = "small" if is_small_fleet(count - 1) else "large"
        for name, (encoded, received, records) in list_ways(count).items():
            rate = STREAMS_PER_GATEWAY
            seconds = rate * (encoded * encode_s + received * decode_s)
            kept = rate * records * RECORD_TTL_S
            print(
                f"{count} gateways ({kind}), {name}: "
                f"{rate * received:.1f} messages/s, "
                f"{rate * received * size / 1000:.2f} KB/s, "
                f"{100 * seconds:.3f}% of a core, "
                f"{kept * record_bytes / 1e6:.2f} MB"
            )


if __name__ == "__main__":
    fire.Fire(compare)
