import json
import types

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_core.configuration import Configuration
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import IdempotencyKeyMissingError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import ModelNotFoundError
from hollyspan_core.errors import Outcome
from hollyspan_entry.online.reading import build_request
from hollyspan_entry.online.reading import CHAT_PATH
from hollyspan_entry.online.reading import COMPLETION_PATH
from hollyspan_entry.online.reading import Options
from hollyspan_entry.online.reading import read_deadline

CONFIGURATION = Configuration(
    document={
        "generation": 1,
        "defaults": {"online": {"deadline_seconds": 30}},
        "services": {
            "m": {"kind": "model"},
            "orders": {"kind": "model", "idempotent": False},
            "clock": {"kind": "service"},
        },
        "keys": [],
        "exceptions": [],
    }
)
SETTINGS = types.SimpleNamespace(data_centre="a")
MESSAGES = [{"role": "user", "content": "tide"}]


def build(body, *, path=CHAT_PATH, options=None):
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    return build_request(
        configuration=CONFIGURATION,
        settings=SETTINGS,
        path=path,
        body=body,
        workspace="dev",
        options=options or Options(),
        identifier="r1",
    )


def test_chat_request():
    request = build({"model": "m", "messages": MESSAGES, "stream": True})
    assert (request.service, request.streamed) == ("m", True)
    assert request.idempotent
    assert request.stable_key == "online/r1"


def test_completion_request():
    request = build({"model": "m", "prompt": "x" * 64}, path=COMPLETION_PATH)
    assert len(request.blocks) == 1


def test_configuration_makes_a_model_non_idempotent():
    body = {"model": "orders", "messages": MESSAGES}
    with pytest.raises(IdempotencyKeyMissingError):
        build(body)
    request = build(body, options=Options(key="k"))
    assert not request.idempotent
    assert request.stable_key.startswith("online/dev/")


@pytest.mark.parametrize("model", ["none", "clock"])
def test_unknown_model(model):
    with pytest.raises(ModelNotFoundError):
        build({"model": model, "messages": MESSAGES})


@pytest.mark.parametrize("text", ["", "-1", "0", "nan", "inf", "soon"])
def test_invalid_deadline(text):
    with pytest.raises(InvalidRequestError):
        read_deadline(text)


@given(
    st.binary(max_size=40)
    | st.dictionaries(
        st.sampled_from(["model", "messages", "stream", "prompt"]),
        st.recursive(
            st.none() | st.booleans() | st.sampled_from(["m", "x"]),
            lambda inner: st.lists(inner, max_size=2)
            | st.dictionaries(
                st.sampled_from(["role", "content", "text"]), inner
            ),
            max_leaves=5,
        ),
    ),
    st.sampled_from([CHAT_PATH, COMPLETION_PATH]),
)
def test_any_body_gives_a_request_or_a_typed_error(body, path):
    try:
        request = build(body, path=path)
    except HollyspanError as error:
        assert error.outcome is Outcome.NOT_RUN
        return
    assert request.service == "m"
