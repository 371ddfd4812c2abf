"""Look up configuration: tokens, services, rules and pools.

The catalog follows the configuration change by change, so that a change
costs work in proportion to itself and not to the whole configuration.
"""

import hashlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import lru_cache

from pydantic import ValidationError
from spanfall_api.objects import (
    KINDS,
    ConfigObject,
    Rule,
    Service,
    Upstream,
    Workspace,
)
from spanfall_core.configuration import ConfigState, Document, ObjectId
from spanfall_core.selectors import Selector, parse_selector

logger = logging.getLogger(__name__)

PoolListener = Callable[[str], None]

#: Selectors kept parsed.
SELECTOR_CACHE = 4096


@lru_cache(SELECTOR_CACHE)
def selector(text: str) -> Selector:
    """Return the parsed selector, from a cache."""
    return parse_selector(text)


def hash_token(token: str) -> str:
    """Return the digest under which a bearer token is configured."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_object(kind: str, document: Document) -> ConfigObject | None:
    """Return the object of a stored document, or None if it is not valid."""
    try:
        return KINDS[kind].model_validate(document)
    except (KeyError, ValidationError) as exc:
        logger.warning('Ignoring a stored object of kind %s: %s', kind, exc)
        return None


@dataclass(slots=True)
class Catalog:
    """Index the objects of the configuration.

    ``pools`` names the upstreams of the services that are followed, which
    are those with a home at this node.
    """

    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    rules: dict[str, Rule] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    by_token: dict[str, str] = field(default_factory=dict)
    ordered_rules: list[Rule] = field(default_factory=list)
    pools: dict[str, set[str]] = field(default_factory=dict)
    listeners: list[PoolListener] = field(default_factory=list)

    def table(self, kind: str) -> dict[str, ConfigObject]:
        """Return the objects of a kind by name."""
        tables: dict[str, dict[str, ConfigObject]] = {
            'services': self.services,
            'workspaces': self.workspaces,
            'rules': self.rules,
            'upstreams': self.upstreams,
        }
        return tables[kind]

    def load(self, state: ConfigState) -> None:
        """Take a whole state."""
        kinds = {kind: self.table(kind) for kind in KINDS}
        gone = [
            (kind, name)
            for kind, rows in kinds.items()
            for name in rows
            if (kind, name) not in state.objects
        ]
        self.update(state, [*gone, *state.objects])

    def update(self, state: ConfigState, ids: Iterable[ObjectId]) -> None:
        """Take the objects with these ids from the state."""
        changed = list(ids)
        for kind, name in changed:
            self._update_one(state, kind, name)
        kinds = {object_id[0] for object_id in changed}
        if 'workspaces' in kinds:
            self._index_tokens()
        if 'rules' in kinds:
            self.ordered_rules = sorted(
                self.rules.values(),
                key=lambda rule: (rule.order, rule.name),
            )
        self._tell_listeners(changed)

    def follow(self, service: str) -> set[str]:
        """Return the names of a service's upstreams, kept current."""
        known = self.pools.get(service)
        if known is None:
            known = self._select_upstreams(service)
            self.pools[service] = known
        return known

    def find_workspace(self, token: str) -> Workspace | None:
        """Return the workspace of a bearer token, or None."""
        name = self.by_token.get(hash_token(token))
        return None if name is None else self.workspaces.get(name)

    def _update_one(self, state: ConfigState, kind: str, name: str) -> None:
        stored = state.objects.get((kind, name))
        row = None if stored is None else parse_object(kind, stored.document)
        rows = self.table(kind)
        if row is None:
            rows.pop(name, None)
        else:
            rows[name] = row
        if kind == 'upstreams':
            self._reselect(name)
        elif kind == 'services' and name in self.pools:
            self.pools[name] = self._select_upstreams(name)

    def _select_upstreams(self, service: str) -> set[str]:
        row = self.services.get(service)
        if row is None:
            return set()
        wanted = selector(row.upstreams)
        return {
            name
            for name, upstream in self.upstreams.items()
            if wanted.matches(upstream.labels)
        }

    def _reselect(self, name: str) -> None:
        upstream = self.upstreams.get(name)
        for service, names in self.pools.items():
            row = self.services.get(service)
            names.discard(name)
            if row is None or upstream is None:
                continue
            if selector(row.upstreams).matches(upstream.labels):
                names.add(name)

    def _index_tokens(self) -> None:
        self.by_token = {
            digest: row.name
            for row in self.workspaces.values()
            for digest in row.token_hashes
        }

    def _tell_listeners(self, changed: list[ObjectId]) -> None:
        kinds = {kind for kind, _ in changed}
        services = list(self.pools)
        if not kinds & {'upstreams', 'workspaces'}:
            services = [name for kind, name in changed if kind == 'services']
        for service in services:
            for listener in self.listeners:
                listener(service)
