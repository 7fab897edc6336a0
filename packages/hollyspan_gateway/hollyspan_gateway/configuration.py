"""Taking a newer configuration into force."""

import eliot

from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import DocumentInvalidError

__all__ = ["apply_configuration"]

# What a forwarded request has in its head beyond the client's.
FORWARDED_HEADER_BYTES = 512


def apply_configuration(gateway, mirror):
    """Apply a newer configuration or an order to retire the machine.

    Parameters
    ----------
    gateway : Gateway
    mirror : Mirror
        Of the configuration's entries.
    """
    refused = {"configuration": {}, "routes": {}, "retirement": {}}
    for entry in mirror.entries.values():
        try:
            table = gateway.dialect.decode_configuration(entry)
        except ConfigurationInvalidError as error:
            # The configuration in force stays in force.
            gateway.has_unread_configuration = True
            eliot.log_message(
                "configuration:invalid",
                revision=entry.revision,
                param=error.param,
                reason=error.message,
            )
            refused["configuration"][entry.key] = (
                entry.revision,
                error.message,
            )
            continue
        if table is None:
            try:
                gateway.retirement.apply_order(entry)
            except DocumentInvalidError as error:
                refused["retirement"][entry.key] = (
                    entry.revision,
                    error.message,
                )
            continue
        if not table.is_complete:
            refused["routes"][entry.key] = (
                entry.revision,
                "not all routes can be read",
            )
        gateway.has_unread_configuration = False
        current = gateway.routes
        if current is None or table.revision > current.revision:
            put_in_force(gateway, table)
    for kind, entries in refused.items():
        gateway.refused.update(kind, entries)
    gateway.stream_versions.version_records.schedule_update()


def put_in_force(gateway, table):
    """Serve by a newer configuration from now on."""
    was = gateway.configuration_version
    gateway.routes = table
    gateway.quotas.note_limits(table.list_routes())
    if gateway.site is not None:
        gateway.site.apply_limits(table.limits)
    if gateway.internal_site is not None:
        gateway.internal_site.apply_size_limits(
            table.limits, header_margin=FORWARDED_HEADER_BYTES
        )
    gateway.workspaces.release_withdrawn()
    eliot.log_message(
        "configuration:in_force",
        version=table.version,
        revision=table.revision,
        routes=len(table.list_routes()),
        was=was,
    )
