"""Tests of blocks and their hashes."""

from xxhash import xxh3_64_hexdigest

from hollyspan_standins.engine import hash_blocks
from hollyspan_standins.engine import join_messages


def test_only_whole_blocks_count():
    assert hash_blocks("x" * 63) == []
    assert len(hash_blocks("x" * 130)) == 2


def test_a_hash_covers_the_previous_hash_and_the_block():
    first, second = hash_blocks("ώ" * 64 + "y" * 64)
    assert first == xxh3_64_hexdigest(bytes(8) + ("ώ" * 64).encode())
    chained = bytes.fromhex(first) + b"y" * 64
    assert second == xxh3_64_hexdigest(chained)


def test_the_prompt_of_a_chat():
    messages = [
        {"role": "system", "content": "be brief"},
        {
            "role": "user",
            "content": [
                {"type": "text", "text": "a"},
                {"type": "text", "text": "b"},
            ],
        },
    ]
    assert join_messages(messages) == "system:be brief\nuser:ab"
