from hollyspan_entry.online.prompt import get_prompt


def test_chat():
    messages = [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": [{"type": "text", "text": "tide"}]},
    ]
    assert get_prompt({"messages": messages}) == "system:be brief\nuser:tide"


def test_completion():
    assert get_prompt({"prompt": ["tide"]}) == "tide"
    assert get_prompt({"prompt": [1, 2]}) == ""
