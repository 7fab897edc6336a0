"""The unmodified official OpenAI client: files and batches."""

import json
import time

import openai
import pytest

from hollyspan_entry.http import sign_key
from hollyspan_standins.deployment import open_deployment

MODEL = "pips-lm"
ENDPOINT = "/v1/chat/completions"
BATCH_TIMEOUT_S = 60.0


def build_line(name, *, prompt="tide", model=MODEL, tokens=4):
    return json.dumps(
        {
            "custom_id": name,
            "method": "POST",
            "url": ENDPOINT,
            "body": {
                "model": model,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            },
        }
    )


@pytest.fixture(scope="module")
def deployment():
    with open_deployment() as deployment:
        yield deployment


@pytest.fixture
def client(deployment):
    url = deployment.url(deployment.daemon_names[0])
    return openai.OpenAI(
        base_url=f"{url}/v1", api_key="dev-key", max_retries=0
    )


def upload(client, lines):
    content = "".join(f"{line}\n" for line in lines).encode()
    return client.files.create(file=("items.jsonl", content), purpose="batch")


def create(client, file, **options):
    return client.batches.create(
        input_file_id=file.id,
        endpoint=ENDPOINT,
        completion_window="24h",
        **options,
    )


def wait(client, batch):
    deadline = time.monotonic() + BATCH_TIMEOUT_S
    while time.monotonic() < deadline:
        batch = client.batches.retrieve(batch.id)
        if batch.status in ("completed", "cancelled", "failed"):
            return batch
        time.sleep(0.1)
    return pytest.fail(f"the batch is {batch.status}")


def read_lines(client, file):
    content = client.files.content(file).text
    return {
        line["custom_id"]: line
        for line in map(json.loads, content.splitlines())
    }


def test_files(client):
    lines = [build_line(f"i{number}") for number in range(60)]
    file = upload(client, lines)
    content = "".join(f"{line}\n" for line in lines).encode()
    assert file.bytes == len(content)
    assert client.files.retrieve(file.id).filename == "items.jsonl"
    assert file.id in [listed.id for listed in client.files.list()]
    assert client.files.content(file.id).read() == content
    assert client.files.delete(file.id).deleted
    with pytest.raises(openai.NotFoundError):
        client.files.retrieve(file.id)


def test_batch_with_items_that_fail(client):
    lines = [build_line(f"i{number}") for number in range(40)]
    lines.append(build_line("unknown", model="none"))
    lines.append(build_line("refused", prompt="[[fail]]"))
    lines.append(build_line("broken", prompt="[[break]]", tokens=8))
    batch = create(client, upload(client, lines), metadata={"run": "a"})
    assert batch.request_counts.total == 43
    batch = wait(client, batch)
    assert batch.status == "completed"
    assert batch.metadata == {"run": "a"}
    assert batch.request_counts.completed == 40
    assert batch.request_counts.failed == 3
    output = read_lines(client, batch.output_file_id)
    assert sorted(output) == sorted(f"i{number}" for number in range(40))
    body = output["i7"]["response"]["body"]
    assert body["object"] == "chat.completion"
    assert len(body["choices"][0]["message"]["content"].split()) == 4
    errors = read_lines(client, batch.error_file_id)
    codes = {name: line["error"]["code"] for name, line in errors.items()}
    assert codes == {
        "unknown": "model_not_found",
        "refused": "upstream_error",
        "broken": "attempts_exhausted",
    }
    assert errors["refused"]["response"]["status_code"] == 400
    assert batch.id in [listed.id for listed in client.batches.list()]


def test_resend_to_another_daemon_gives_the_same_batch(client, deployment):
    file = upload(client, [build_line("a")])
    other = client.with_options(
        base_url=f"{deployment.url(deployment.daemon_names[1])}/v1"
    )
    batch = create(client, file)
    assert create(other, file).id == batch.id
    headers = {"Idempotency-Key": "once"}
    keyed = create(client, file, extra_headers=headers)
    assert keyed.id != batch.id
    assert create(other, file, extra_headers=headers).id == keyed.id
    with pytest.raises(openai.UnprocessableEntityError):
        create(client, file, extra_headers=headers, metadata={"n": "2"})


def test_resent_upload_gives_the_same_file(client):
    options = {"extra_headers": {"Idempotency-Key": "upload"}}
    content = build_line("a").encode()
    first = client.files.create(file=content, purpose="batch", **options)
    again = client.files.create(file=content, purpose="batch", **options)
    assert again.id == first.id
    with pytest.raises(openai.UnprocessableEntityError):
        client.files.create(
            file=build_line("b").encode(), purpose="batch", **options
        )


def test_cancel(client):
    lines = [build_line(f"i{number}", tokens=400) for number in range(100)]
    file = upload(client, lines)
    batch = create(client, file)
    time.sleep(1.0)
    with pytest.raises(openai.ConflictError):
        client.files.delete(file.id)
    batch = client.batches.cancel(batch.id)
    assert batch.status == "cancelling"
    batch = wait(client, batch)
    assert batch.status == "cancelled"
    assert client.batches.cancel(batch.id).status == "cancelled"
    counts = batch.request_counts
    assert counts.completed + counts.failed < 100
    if batch.output_file_id:
        output = read_lines(client, batch.output_file_id)
        assert len(output) == counts.completed
    assert client.files.delete(file.id).deleted


@pytest.mark.parametrize(
    ("lines", "code", "detail"),
    [
        ([build_line("a"), "{"], "invalid_line", "line 2"),
        ([build_line("a"), build_line("a")], "duplicate_custom_id", "line 2"),
        ([], "invalid_line", "no item"),
    ],
)
def test_faulty_file_is_refused(client, lines, code, detail):
    with pytest.raises(openai.BadRequestError) as error_info:
        upload(client, lines)
    assert error_info.value.code == code
    assert detail in error_info.value.message
    assert error_info.value.body["outcome"] == "not_run"


def test_wrong_key_and_unknown_names_are_refused(client):
    unauthorized = client.with_options(api_key="wrong")
    with pytest.raises(openai.AuthenticationError):
        upload(unauthorized, [build_line("a")])
    with pytest.raises(openai.AuthenticationError):
        unauthorized.batches.list().data
    with pytest.raises(openai.NotFoundError):
        client.batches.retrieve("batch_none")
    with pytest.raises(openai.NotFoundError):
        client.files.content("file-none")


def test_other_workspace_has_no_access(client, deployment):
    batch = create(client, upload(client, [build_line("a")]))
    batch = wait(client, batch)
    name = deployment.daemon_names[0]
    settings = json.loads(
        (deployment.folder / f"{name}.settings.json").read_text()
    )
    signing_key = settings["callers"]["signing_key"].encode()
    other = client.with_options(
        api_key=sign_key("other", signing_key=signing_key)
    )
    assert other.files.list().data == []
    assert other.batches.list().data == []
    for call in (
        lambda: other.files.retrieve(batch.input_file_id),
        lambda: other.files.content(batch.input_file_id),
        lambda: other.files.delete(batch.input_file_id),
        lambda: other.files.content(batch.output_file_id),
        lambda: other.batches.retrieve(batch.id),
        lambda: other.batches.cancel(batch.id),
        lambda: create(other, client.files.retrieve(batch.input_file_id)),
    ):
        with pytest.raises(openai.NotFoundError):
            call()
    assert read_lines(client, batch.output_file_id).keys() == {"a"}


def test_oversized_body_is_refused(client):
    with pytest.raises(openai.APIStatusError) as error_info:
        client.batches.create(
            input_file_id="x" * 9_000_000,
            endpoint=ENDPOINT,
            completion_window="24h",
        )
    assert error_info.value.status_code == 413
