"""Stand-in of an engine with continuous batching and a prefix cache."""

from .blocks import hash_blocks
from .blocks import join_messages
from .tokens import generate_expected_text
from .tokens import generate_expected_tokens

__all__ = [
    "generate_expected_text",
    "generate_expected_tokens",
    "hash_blocks",
    "join_messages",
]
