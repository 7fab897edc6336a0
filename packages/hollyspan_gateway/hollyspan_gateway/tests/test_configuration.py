"""Tests of invalid configurations at a gateway."""

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.store import Entry
from hollyspan_gateway.store import Mirror


def test_an_invalid_configuration_keeps_the_one_in_force(
    gateway, helpers, store, reactor
):
    def decode(entry):
        if entry.content == b"invalid":
            raise ConfigurationInvalidError("no number", param="limit")
        return helpers.build_table(
            [helpers.build_route(name="new")], revision=entry.revision
        )

    gateway.dialect.decode_configuration = decode
    mirror = Mirror(
        store=store,
        reactor=reactor,
        prefix="configuration",
        on_change=gateway.apply_configuration,
    )
    in_force = gateway.routes
    for revision, content in ((5, b"invalid"), (6, b"valid")):
        mirror.entries["configuration"] = Entry(
            key="configuration",
            content=content,
            token=b"",
            revision=revision,
            lease=0,
        )
        gateway.apply_configuration(mirror)
        if content == b"invalid":
            assert gateway.routes is in_force
    assert gateway.routes.revision == 6
