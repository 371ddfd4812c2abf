"""Tell an entry how the upstreams have changed since its listing."""

from spanfall_core.gateway.known.directory import Directory

from spanfall_node.gateway.links.messages import ReportMessage, UpstreamsPart


def upstreams_part(
    directory: Directory, message: ReportMessage
) -> UpstreamsPart | None:
    """Return the changes, all rows, or None if the entry has the same ones."""
    if message.upstreams_digest == directory.digest:
        return None
    known_revision = message.upstreams_revision
    if not 0 < known_revision < directory.revision:
        rows = tuple(directory.rows.values())
        return UpstreamsPart(directory.revision, rows, digest=directory.digest)
    change = directory.changes_since(known_revision)
    return UpstreamsPart(
        directory.revision,
        change.rows,
        change.removed,
        is_change=True,
        digest=directory.digest,
    )
