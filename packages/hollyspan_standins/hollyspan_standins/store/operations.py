"""Range, put, delete and transaction operations on the keyspace."""

from .wire import build_argument_error
from .wire import build_header
from .wire import build_kv
from .wire import read_bytes
from .wire import read_number
from .wire import StoreError

__all__ = ["Operations"]

MAX_VALUE_BYTES = 1024 * 1024

COMPARISONS = {
    "EQUAL": lambda actual, expected: actual == expected,
    "GREATER": lambda actual, expected: actual > expected,
    "LESS": lambda actual, expected: actual < expected,
    "NOT_EQUAL": lambda actual, expected: actual != expected,
}
COMPARISON_NUMBERS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
TARGETS = {
    "VERSION": ("version", "version"),
    "CREATE": ("create_revision", "create_revision"),
    "MOD": ("mod_revision", "mod_revision"),
}
TARGET_NUMBERS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")


class Operations:
    """Operations of the key-value service.

    Parameters
    ----------
    keyspace : Keyspace
    leases : Leases
    """

    def __init__(self, *, keyspace, leases):
        self.keyspace = keyspace
        self.leases = leases

    def build_header(self):
        """Build the header with the current revision."""
        return build_header(self.keyspace.revision)

    def read_range(self, document):
        """Execute a range request and return the answer."""
        found = self.keyspace.list_range(
            read_bytes(document, "key"), read_bytes(document, "range_end")
        )
        answer = {"header": self.build_header()}
        limit = read_number(document, "limit") or len(found)
        if not document.get("count_only") and found:
            keys_only = bool(document.get("keys_only"))
            answer["kvs"] = [
                build_kv(entry, keys_only=keys_only) for entry in found[:limit]
            ]
            if len(found) > limit:
                answer["more"] = True
        if found:
            answer["count"] = str(len(found))
        return answer

    def put(self, document):
        """Execute a put request and return the answer."""
        self.check_put(document)
        key = read_bytes(document, "key")
        lease = read_number(document, "lease")
        previous = self.keyspace.put(key, read_bytes(document, "value"), lease)
        old = previous.lease if previous else 0
        self.leases.move_key(key, old, lease)
        answer = {"header": self.build_header()}
        if document.get("prev_kv") and previous:
            answer["prev_kv"] = build_kv(previous)
        return answer

    def delete_range(self, document):
        """Execute a delete request and return the answer."""
        found = self.keyspace.list_range(
            read_bytes(document, "key"), read_bytes(document, "range_end")
        )
        for entry in found:
            self.leases.move_key(entry.key, entry.lease, 0)
        self.keyspace.delete([entry.key for entry in found])
        answer = {"header": self.build_header()}
        if found:
            answer["deleted"] = str(len(found))
        if document.get("prev_kv") and found:
            answer["prev_kvs"] = [build_kv(entry) for entry in found]
        return answer

    def run_transaction(self, document):
        """Execute a transaction and return the answer.

        Notes
        -----
        Both branches are validated before anything is written, so that a
        rejected transaction has no effect.
        """
        branches = [document.get("success"), document.get("failure")]
        for branch in branches:
            for step in branch or []:
                self._check_step(step)
        is_satisfied = all(
            self._compare(comparison)
            for comparison in document.get("compare") or []
        )
        branch = document.get("success" if is_satisfied else "failure") or []
        responses = [self._run_step(step) for step in branch]
        answer = {"header": self.build_header()}
        if is_satisfied:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        return answer

    def check_put(self, document):
        """Raise StoreError if a put request is invalid."""
        if not read_bytes(document, "key"):
            raise build_argument_error("etcdserver: key is not provided")
        if len(read_bytes(document, "value")) > MAX_VALUE_BYTES:
            raise build_argument_error("etcdserver: request is too large")
        lease = read_number(document, "lease")
        if lease and lease not in self.leases:
            raise StoreError(
                status=404,
                number=5,
                message="etcdserver: requested lease not found",
            )

    def _check_step(self, step):
        if "request_put" in step:
            self.check_put(step["request_put"])

    def _run_step(self, step):
        if "request_put" in step:
            return {"response_put": self.put(step["request_put"])}
        if "request_delete_range" in step:
            deleted = self.delete_range(step["request_delete_range"])
            return {"response_delete_range": deleted}
        return {"response_range": self.read_range(step["request_range"])}

    def _compare(self, comparison):
        target = comparison.get("target", "VERSION")
        if isinstance(target, int):
            target = TARGET_NUMBERS[target]
        result = comparison.get("result", "EQUAL")
        if isinstance(result, int):
            result = COMPARISON_NUMBERS[result]
        if target not in TARGETS or result not in COMPARISONS:
            raise build_argument_error(f"comparison {target} {result}")
        name, field = TARGETS[target]
        entry = self.keyspace.get(read_bytes(comparison, "key"))
        actual = getattr(entry, field) if entry else 0
        return COMPARISONS[result](actual, read_number(comparison, name))
