"""Serve operators: objects, selectors, explanations, fleet and health."""

import logging
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from fastapi import (
    Request,
)
from prometheus_client import CollectorRegistry
from pydantic import ValidationError
from spanfall_api.objects import KINDS
from spanfall_api.problems import RefusedError
from spanfall_api.settings import AdminToken, Role, describe_faults
from spanfall_core.configuration import Edit
from spanfall_core.membership import all_members
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.selectors import SelectorError, parse_selector

from spanfall_node.admin_errors import refuse_bad
from spanfall_node.admin_models import (
    ExplainRequest,
)
from spanfall_node.catalog import Catalog, hash_token
from spanfall_node.config_errors import ConflictError, RacesLostError
from spanfall_node.config_store import ConfigStore
from spanfall_node.context import Context
from spanfall_node.keyvalue import StoreError, StoreUncertainError
from spanfall_node.members import Members
from spanfall_node.rules import Call, route

logger = logging.getLogger(__name__)

_CREATED = 201


def check_object(kind: str, document: dict[str, Any]) -> Edit:
    """Return the edit that puts an object, or raise RefusedError."""
    if kind not in KINDS:
        raise RefusedError(RefusalReason.UNKNOWN_OBJECT, f'no kind {kind}')
    try:
        row = KINDS[kind].model_validate(document)
    except ValidationError as exc:
        raise refuse_bad('; '.join(describe_faults(exc))) from exc
    for name in ('upstreams', 'allow', 'workspaces', 'services'):
        text = getattr(row, name, '')
        check_selector(text)
    return Edit(kind, row.name, row.model_dump(mode='json'))


def check_selector(text: str) -> None:
    """Raise RefusedError with the column if a selector does not parse."""
    try:
        parse_selector(text)
    except SelectorError as exc:
        raise RefusedError(
            RefusalReason.BAD_SELECTOR, f'{text!r}: {exc}'
        ) from exc


class Admin:
    """Answer requests on the admin port."""

    def __init__(
        self,
        context: Context,
        catalog: Catalog,
        members: Members,
        config: ConfigStore,
    ) -> None:
        """Serve from the catalog; commit through the configuration store."""
        self.is_ready: Callable[[], bool] = lambda: True
        self.stop: Callable[[], None] = lambda: None
        self._context = context
        self._catalog = catalog
        self._members = members
        self._config = config

    @property
    def body_limit(self) -> int:
        """Return the largest body that is read, in bytes."""
        return self._context.cfg.limits.body_bytes

    @property
    def registry(self) -> CollectorRegistry:
        """Return the metrics of this node."""
        return self._context.metrics.registry

    @property
    def node_id(self) -> str:
        """Return the id of this node."""
        return self._context.node_id

    def find_operation(self, operation_id: str) -> int | None:
        """Return the revision of an operation, if it was accepted."""
        return self._config.state.operations.get(operation_id)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._context.metrics.refusals.labels(reason.value).inc()

    def authenticate(self, req: Request) -> AdminToken:
        """Return the token of a request, or raise RefusedError."""
        scheme, _, token = req.headers.get('authorization', '').partition(' ')
        digest = hash_token(token.strip())
        found = next(
            (
                row
                for row in self._context.cfg.admin.tokens
                if row.token_hash == digest
            ),
            None,
        )
        if found is None or scheme.lower() != 'bearer':
            raise RefusedError(RefusalReason.UNAUTHENTICATED)
        expires_at = found.expires_at
        if expires_at is not None and expires_at < self._context.timers.epoch():
            raise RefusedError(
                RefusalReason.UNAUTHENTICATED,
                'the token has expired',
            )
        return found

    def check_edit(self, token: AdminToken, edits: list[Edit]) -> None:
        """Raise RefusedError if the token may not make these edits."""
        if token.role is Role.VIEWER:
            raise RefusedError(RefusalReason.FORBIDDEN, 'the role is viewer')
        if not token.workspaces or token.role is Role.ADMIN:
            return
        for edit in edits:
            if not self._owns(token, edit):
                raise RefusedError(
                    RefusalReason.FORBIDDEN,
                    f'{edit.kind}/{edit.name} belongs to another team',
                )

    def _owns(self, token: AdminToken, edit: Edit) -> bool:
        if edit.kind == 'workspaces':
            return edit.name in token.workspaces
        stored = self._config.state.objects.get((edit.kind, edit.name))
        documents = [edit.document]
        if stored is not None:
            documents.append(stored.document)
        owners = {
            document.get('labels', {}).get('workspace')
            for document in documents
            if document is not None
        }
        return owners <= set(token.workspaces)

    async def commit(
        self,
        token: AdminToken,
        edits: list[Edit],
        operation_id: str,
    ) -> int:
        """Commit edits and return the revision, or raise RefusedError."""
        self.check_edit(token, edits)
        operation_id = operation_id or uuid4().hex
        try:
            revision = await self._config.accept(
                edits,
                token.name,
                operation_id,
            )
        except ConflictError as exc:
            raise self._describe_conflict(exc) from exc
        except StoreUncertainError as exc:
            raise RefusedError(
                RefusalReason.STORE_UNAVAILABLE,
                f'ask for operation {operation_id} later',
                RunState.UNKNOWN,
                1,
            ) from exc
        except (StoreError, RacesLostError) as exc:
            raise RefusedError(
                RefusalReason.STORE_UNAVAILABLE,
                str(exc),
                retry_after=1,
            ) from exc
        logger.info(
            'audit: %s changed %s in revision %s, operation %s',
            token.name,
            ', '.join(f'{edit.kind}/{edit.name}' for edit in edits),
            revision,
            operation_id,
        )
        return revision

    def _describe_conflict(self, exc: ConflictError) -> RefusedError:
        changed = '; '.join(
            f'{row.kind}/{row.name} is at revision {row.actual}, '
            f'not {row.expected}'
            for row in exc.conflicts
        )
        return RefusedError(RefusalReason.REVISION_CONFLICT, changed)

    def find(self, kind: str, name: str) -> tuple[int, dict[str, Any]]:
        """Return revision and document of an object, or raise RefusedError."""
        stored = self._config.state.objects.get((kind, name))
        if stored is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_OBJECT,
                f'no {kind}/{name}',
            )
        return stored.revision, dict(stored.document)

    def list_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind with their revisions."""
        if kind not in KINDS:
            raise RefusedError(RefusalReason.UNKNOWN_OBJECT, f'no kind {kind}')
        return [
            {'revision': stored.revision, 'object': dict(stored.document)}
            for (other, _), stored in sorted(self._config.state.objects.items())
            if other == kind
        ]

    def explain(self, ask: ExplainRequest) -> dict[str, Any]:
        """Return where a request would go, and why."""
        workspace = self._catalog.workspaces.get(ask.workspace)
        if workspace is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_OBJECT,
                f'no workspace {ask.workspace}',
            )
        call = Call(workspace, ask.name, ask.method, ask.path, ask.model)
        target, service = route(self._catalog, call)
        upstreams = [] if service is None else self._explain_pool(service.name)
        return {
            'service': target.service,
            'allowed': service is not None,
            'rule': target.rule,
            'idempotent': target.idempotent,
            'priority': target.priority,
            'homes': list(self._members.homes_of(target.service)),
            'upstreams': upstreams,
        }

    def _explain_pool(self, service: str) -> list[dict[str, Any]]:
        names = self._catalog.follow(service)
        return [
            self._catalog.upstreams[name].model_dump(mode='json')
            for name in sorted(names)
        ]

    def fleet(self) -> dict[str, Any]:
        """Return the members as this node knows them."""
        return {
            'node': self._context.node_id,
            'revision': self._config.state.revision,
            'delegate': self._members.delegate or self._context.node_id,
            'members': [
                {
                    'node': member.node_id,
                    'data_centre': member.data_centre,
                    'address': member.address,
                    'draining': member.draining,
                    'incarnation': member.incarnation,
                }
                for member in all_members(self._members.table)
            ],
        }
