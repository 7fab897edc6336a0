"""Deterministic tokens of an answer, the same on every engine."""

from xxhash import xxh3_64_intdigest

__all__ = ["generate_expected_text", "generate_expected_tokens"]

DEFAULT_MAX_TOKENS = 16
WORDS = (
    "pip leap second drift station crew ferry radio bulletin notice hour "
    "clock signal time north south gale calm harbour mast relay carrier "
    "offset stable early late λεπτό ώρα σήμα πλοίο άνεμος λιμάνι"
).split()


def generate_expected_tokens(
    *, model, prompt, max_tokens=DEFAULT_MAX_TOKENS, seed=0, salt=""
):
    """Return the tokens that an engine generates for a request.

    Parameters
    ----------
    model, prompt : str
        Name of the model and prompt. The prompt of a chat is the result of
        :func:`join_messages`.
    max_tokens : int
        Number of tokens.
    seed : int
        The ``seed`` field of the request.
    salt : str
        The ``--salt`` of the engine; a test can set it to distinguish the
        answers of different engines.

    Returns
    -------
    list of str
        Tokens, whose concatenation is the answer.
    """
    text = f"{model}\0{prompt}\0{max_tokens}\0{seed}\0{salt}"
    start = xxh3_64_intdigest(text.encode())
    tokens = []
    for index in range(max_tokens):
        digest = xxh3_64_intdigest(index.to_bytes(8, "big"), seed=start)
        tokens.append(f"{WORDS[digest % len(WORDS)]} ")
    return tokens


def generate_expected_text(**request):
    """Return the whole answer; see :func:`generate_expected_tokens`."""
    return "".join(generate_expected_tokens(**request))
