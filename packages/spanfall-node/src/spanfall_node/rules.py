"""Apply routing rules: which service gets a request, and on what terms."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from spanfall_api.objects import Rule, Service, Workspace

from spanfall_node.catalog import Catalog, selector

#: Methods that may be repeated without another effect (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class Target:
    """Say which service gets a request, and on what terms."""

    service: str
    idempotent: bool
    priority: int = 0
    deadline_ms: int | None = None
    rule: str = ''


@dataclass(frozen=True, slots=True)
class Call:
    """Hold what rules look at: who calls what, and how."""

    workspace: Workspace
    name: str
    method: str = 'POST'
    path: str = ''
    is_model: bool = True


def matches(rule: Rule, call: Call, service: Service | None) -> bool:
    """Tell whether all stated conditions of a rule hold."""
    if rule.model and rule.model != call.name:
        return False
    if rule.methods and call.method not in rule.methods:
        return False
    if not call.path.startswith(rule.path_prefix):
        return False
    if not selector(rule.workspaces).matches(call.workspace.labels):
        return False
    if not rule.services:
        return True
    labels = {} if service is None else service.labels
    return selector(rule.services).matches(labels)


def find_target(
    rules: Iterable[Rule],
    call: Call,
    service: Service | None,
) -> Target:
    """Return the target by the first rule that matches, or by default."""
    default = Target(
        call.name,
        call.is_model or call.method in IDEMPOTENT_METHODS,
    )
    rule = next((row for row in rules if matches(row, call, service)), None)
    if rule is None:
        return default
    idempotent = default.idempotent
    if rule.idempotent is not None:
        idempotent = rule.idempotent
    return replace(
        default,
        service=rule.route_to or call.name,
        idempotent=idempotent,
        priority=rule.priority or 0,
        deadline_ms=rule.deadline_ms,
        rule=rule.name,
    )


def route(catalog: Catalog, call: Call) -> tuple[Target, Service | None]:
    """Return the target of a call and its service, if it may be called."""
    named = catalog.services.get(call.name)
    target = find_target(catalog.ordered_rules, call, named)
    service = catalog.services.get(target.service)
    if service is None:
        return target, None
    is_allowed = selector(service.allow).matches(call.workspace.labels)
    return target, service if is_allowed else None
