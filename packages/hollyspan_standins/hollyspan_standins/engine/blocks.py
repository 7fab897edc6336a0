"""Blocks of a prompt and their hashes."""

from xxhash import xxh3_64_digest

__all__ = ["BLOCK_CHARACTERS", "hash_blocks", "join_messages"]

BLOCK_CHARACTERS = 64


def hash_blocks(text):
    """Return the chained hashes of the complete blocks of a text."""
    previous = bytes(8)
    hashes = []
    whole = len(text) - len(text) % BLOCK_CHARACTERS
    for start in range(0, whole, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS].encode()
        previous = xxh3_64_digest(previous + block)
        hashes.append(previous.hex())
    return hashes


def join_messages(messages):
    """Return the messages of a chat as one prompt."""
    return "\n".join(
        f"{message.get('role', '')}:{read_content(message)}"
        for message in messages
    )


def read_content(message):
    """Return the text of a message; its content may be a list of parts."""
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)
