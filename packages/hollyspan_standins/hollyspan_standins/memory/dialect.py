"""A simple wire format for tests."""

from hollyspan_gateway.online import has_events
from hollyspan_gateway.online import RequestHead
from hollyspan_gateway.online import UpstreamReply
from hollyspan_gateway.upstreams import LoadReport

from .builders import build_entry

__all__ = ["PlainDialect"]


class PlainDialect:
    """Wire format with plain header names and bodies, for readable tests."""

    configuration_prefix = "configuration"
    upstreams_prefix = "upstreams/"
    report_target = b"/report"

    @staticmethod
    def decode_configuration(entry):
        return None

    @staticmethod
    def decode_upstream(entry):
        return build_entry(entry.key.rpartition("/")[2])

    @staticmethod
    def decode_report(content):
        return int(content)

    @staticmethod
    def decode_retirement(entry):
        if not entry.key.startswith("retire/"):
            return None
        return entry.key.removeprefix("retire/"), float(entry.content)

    @staticmethod
    def encode_retirement(instance, *, is_done):
        return f"status/{instance}", b"done" if is_done else b"running"

    @staticmethod
    def encode_headers(head, *, upstream, deadline_seconds, resume_after):
        return [
            (b"id", head.identifier.encode()),
            (b"upstream", (upstream or "").encode()),
            (b"resumes", (head.resumes or "").encode()),
            (b"deadline", str(deadline_seconds).encode()),
            (b"resume", str(resume_after).encode()),
            (b"parts", " ".join(map(str, head.shared_parts)).encode()),
            (b"fingerprint", str(head.fingerprint).encode()),
        ]

    @staticmethod
    def decode_head(request):
        values = {
            name.lower(): lines[0].decode()
            for name, lines in request.requestHeaders.getAllRawHeaders()
        }
        resume = values[b"resume"]
        return RequestHead(
            identifier=values[b"id"],
            host="h",
            method=request.method,
            target=request.uri,
            deadline_seconds=float(values[b"deadline"]),
            resume_after=None if resume == "None" else int(resume),
            resumes=values[b"resumes"] or None,
            prompt_tokens=0,
            output_tokens=0,
            shared_parts=tuple(map(int, values[b"parts"].split())),
            fingerprint=int(values[b"fingerprint"]),
            forwarded=[],
        )

    @staticmethod
    def encode_item_headers(item, host):
        return []

    @staticmethod
    def is_credential(name):
        return name in ("key", b"key")

    @staticmethod
    def decode_item_parts(item):
        return tuple(
            int(value) for name, value in item.headers if name == "part"
        )

    @staticmethod
    def read_identifier(headers):
        value = dict(headers).get(b"id")
        return None if value is None else value.decode()

    @staticmethod
    def decode_reply(status, headers):
        values = dict(headers)
        load = values.get(b"load")
        return UpstreamReply(
            status=status,
            has_not_run=b"not-run" in values,
            is_misdirected=status == 421,
            is_ambiguous=status == 503 and b"not-run" not in values,
            load=load and decode_load(load),
            is_leaving=b"leaving" in values,
            rate_limit=float(values[b"limit"]) if b"limit" in values else None,
            has_events=b"not-run" not in values
            and has_events(status, headers),
            is_delimited=b"undelimited" not in values,
            headers=list(headers),
            is_foreign=b"foreign" in values,
        )

    @staticmethod
    def encode_failure(failure):
        return failure.status, [], failure.outcome.value.encode()

    @staticmethod
    def encode_accepted():
        return 202, [], b""

    @staticmethod
    def encode_results(*, total, position, results, max_bytes):
        names = ",".join(result.identifier for result in results)
        return 200, [], f"{total}:{position}:{names}".encode()

    @staticmethod
    def build_body_headers():
        return []


def decode_load(value):
    """Decode running and waiting requests, slots and, if told, slowness."""
    running, waiting, slots, *slowness = value.split(b",")
    return LoadReport(
        running=int(running),
        waiting=int(waiting),
        slots=int(slots),
        slowness=float(slowness[0]) if slowness else None,
    )
