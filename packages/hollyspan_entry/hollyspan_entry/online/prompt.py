"""Extraction of the prompt text that engines split into blocks."""

__all__ = ["get_prompt"]


def get_prompt(document):
    """Return the text of a request's prompt.

    Parameters
    ----------
    document : dict
        Body of a chat or plain completion.

    Returns
    -------
    str
        Empty when the prompt has no text.

    Examples
    --------
    >>> get_prompt({"messages": [{"role": "user", "content": "hi"}]})
    'user:hi'
    """
    messages = document.get("messages")
    if isinstance(messages, list):
        return "\n".join(map(format_message, messages))
    prompt = document.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    return prompt if isinstance(prompt, str) else ""


def format_message(message):
    """Return a chat message as one line: role and text."""
    if not isinstance(message, dict):
        return ""
    content = message.get("content")
    if isinstance(content, list):
        parts = [part for part in content if isinstance(part, dict)]
        content = "".join(str(part.get("text", "")) for part in parts)
    return f"{message.get('role', '')}:{content or ''}"
