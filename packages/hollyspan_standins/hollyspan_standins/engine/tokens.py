"""The tokens of an answer, the same on every engine."""

from xxhash import xxh3_64_intdigest

__all__ = ["expected_text", "expected_tokens"]

DEFAULT_MAX_TOKENS = 16
WORDS = (
    "pip leap second drift station crew ferry radio bulletin notice hour "
    "clock signal time north south gale calm harbour mast relay carrier "
    "offset stable early late λεπτό ώρα σήμα πλοίο άνεμος λιμάνι"
).split()


def expected_tokens(
    *, model, prompt, max_tokens=DEFAULT_MAX_TOKENS, seed=0, salt=""
):
    """Return the tokens that an engine generates.

    Parameters
    ----------
    model, prompt : str
        For a chat, the prompt is the text of :func:`join_messages`.
    max_tokens : int
        Number of tokens.
    seed : int
        The ``seed`` field of the request.
    salt : str
        The engine's ``--salt``, empty unless a test wants to tell the
        runs of different engines apart.

    Returns
    -------
    list of str
        The answer is their concatenation.
    """
    text = f"{model}\0{prompt}\0{max_tokens}\0{seed}\0{salt}"
    start = xxh3_64_intdigest(text.encode())
    tokens = []
    for index in range(max_tokens):
        digest = xxh3_64_intdigest(index.to_bytes(8, "big"), seed=start)
        tokens.append(f"{WORDS[digest % len(WORDS)]} ")
    return tokens


def expected_text(**request):
    """Return the whole answer; takes what :func:`expected_tokens` does."""
    return "".join(expected_tokens(**request))
