"""Check the administration interface and its refusals."""

from collections.abc import Awaitable, Callable

import httpx
import pytest
from spanfall_api.settings import AdminToken, Limits, Role
from spanfall_node.catalog import hash_token
from spanfall_node.node import Node
from spanfall_standins.fleet import ADMIN_TOKEN, run_fleet
from support import SMALL, Json, quick_options, run_async

TOKENS = (
    AdminToken(
        name='admin',
        token_hash=hash_token(ADMIN_TOKEN),
        role=Role.ADMIN,
    ),
    AdminToken(name='viewer', token_hash=hash_token('viewer-token')),
    AdminToken(
        name='old',
        token_hash=hash_token('old-token'),
        role=Role.ADMIN,
        expires_at=1,
    ),
    AdminToken(
        name='team',
        token_hash=hash_token('team-token'),
        role=Role.EDITOR,
        workspaces=('drivers',),
    ),
)
WORKSPACE: Json = {'name': 'drivers', 'labels': {'team': 'new'}}

Check = Callable[['AdminCalls'], Awaitable[None]]


class AdminCalls:
    """Call the admin port of one node."""

    def __init__(self, node: Node, client: httpx.AsyncClient) -> None:
        """Keep where to call."""
        self._url = f'http://127.0.0.1:{node.ports.admin}'
        self._client = client

    async def call(
        self,
        method: str,
        path: str,
        body: Json | None = None,
        token: str = ADMIN_TOKEN,
        **headers: str,
    ) -> httpx.Response:
        """Make one call with a token."""
        return await self._client.request(
            method,
            self._url + path,
            json=body,
            headers={
                'Authorization': f'Bearer {token}',
                **{key.replace('_', '-'): row for key, row in headers.items()},
            },
        )

    async def send(self, path: str, content: bytes) -> httpx.Response:
        """Post a raw body."""
        return await self._client.post(
            self._url + path,
            content=content,
            headers={
                'Authorization': f'Bearer {ADMIN_TOKEN}',
                'Content-Type': 'application/json',
            },
        )


def with_admin(check: Check) -> None:
    """Run a check against the admin port of a node."""

    async def run() -> None:
        options = quick_options()
        options.limits = Limits(body_bytes=10_000)
        async with (
            run_fleet(SMALL, options) as fleet,
            httpx.AsyncClient(trust_env=False, verify=False) as client,
        ):
            node = fleet.live_nodes()[0]
            node.cfg.admin.tokens = TOKENS
            await check(AdminCalls(node, client))

    run_async(run)


def reason_of(reply: httpx.Response) -> tuple[int, str]:
    """Return status and reason of a refusal."""
    return reply.status_code, reply.json()['reason']


def test_tokens_and_roles() -> None:
    async def check(admin: AdminCalls) -> None:
        path = '/admin/v1/workspaces/drivers'
        for token in ('wrong', 'old-token'):
            reply = await admin.call('GET', path, token=token)
            assert reason_of(reply) == (401, 'unauthenticated')
        assert (await admin.call('GET', path, token='viewer-token')).is_success
        for token in ('viewer-token', 'team-token'):
            reply = await admin.call(
                'PUT',
                '/admin/v1/workspaces/managers',
                {'name': 'managers'},
                token,
                If_Match='1',
            )
            assert reason_of(reply) == (403, 'forbidden')
        drain = await admin.call('POST', '/admin/v1/drain', token='team-token')
        assert reason_of(drain) == (403, 'forbidden')

    with_admin(check)


def test_editing_with_etags() -> None:
    async def check(admin: AdminCalls) -> None:
        path = '/admin/v1/workspaces/drivers'
        missing = await admin.call('PUT', path, WORKSPACE)
        assert reason_of(missing) == (428, 'revision-required')
        etag = (await admin.call('GET', path)).headers['etag']
        done = await admin.call(
            'PUT',
            path,
            WORKSPACE,
            'team-token',
            If_Match=etag,
        )
        assert done.is_success, done.text
        late = await admin.call('PUT', path, WORKSPACE, If_Match=etag)
        assert reason_of(late) == (412, 'revision-conflict')
        assert 'workspaces/drivers is at revision' in late.json()['detail']
        labels = {'labels': {'team': None, 'shift': 'night'}}
        patched = await admin.call('PATCH', f'{path}/labels', labels)
        assert patched.json()['labels'] == {'shift': 'night'}
        found = await admin.call(
            'POST',
            '/admin/v1/select',
            {'kind': 'workspaces', 'selector': 'shift=night'},
        )
        assert found.json()['names'] == ['drivers']

    with_admin(check)


@pytest.mark.parametrize(
    ('path', 'body', 'expected'),
    [
        ('/admin/v1/apply', {'objects': [{'kind': 'x', 'object': {}}]}, 404),
        ('/admin/v1/select', {'kind': 'services', 'selector': 'a='}, 400),
        ('/admin/v1/explain', {'workspace': 'none', 'name': 'x'}, 404),
        ('/admin/v1/apply', {'wrong': 1}, 400),
    ],
)
def test_bad_bodies_are_refused(path: str, body: Json, expected: int) -> None:
    async def check(admin: AdminCalls) -> None:
        reply = await admin.call('POST', path, body)
        assert reply.status_code == expected
        assert reply.headers['content-type'] == 'application/problem+json'

    with_admin(check)


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'x' * 10_001, (413, 'body-too-large')),
        (b'[' * 9_000, (400, 'bad-request')),
        (b'{"objects": ' + b'[' * 5_000, (400, 'bad-request')),
        (b'\xff', (400, 'bad-request')),
    ],
)
def test_huge_and_deep_bodies(
    content: bytes,
    expected: tuple[int, str],
) -> None:
    async def check(admin: AdminCalls) -> None:
        reply = await admin.send('/admin/v1/apply', content)
        assert reason_of(reply) == expected

    with_admin(check)


def test_apply_is_one_revision_and_dry_run_none() -> None:
    async def check(admin: AdminCalls) -> None:
        rows = [
            {'kind': 'workspaces', 'object': {'name': f'team-{number}'}}
            for number in range(5)
        ]
        before = (await admin.call('GET', '/admin/v1/fleet')).json()
        dry = {'objects': rows, 'dry_run': True}
        assert (await admin.call('POST', '/admin/v1/apply', dry)).is_success
        done = await admin.call('POST', '/admin/v1/apply', {'objects': rows})
        assert done.json()['revision'] == before['revision'] + 1

    with_admin(check)


def test_explain_names_rule_and_homes() -> None:
    async def check(admin: AdminCalls) -> None:
        rule = {
            'name': 'night',
            'workspaces': 'team=drivers',
            'model': 'fast',
            'route_to': 'writer',
            'priority': 7,
        }
        objects = [{'kind': 'rules', 'object': rule}]
        await admin.call('POST', '/admin/v1/apply', {'objects': objects})
        ask = {'workspace': 'drivers', 'name': 'fast'}
        found = (await admin.call('POST', '/admin/v1/explain', ask)).json()
        assert found['service'] == 'writer'
        assert found['rule'] == 'night'
        assert found['priority'] == 7
        assert len(found['homes']) == 3
        assert len(found['upstreams']) == 3

    with_admin(check)


def test_health_and_metrics_need_no_token() -> None:
    async def check(admin: AdminCalls) -> None:
        for path in ('/healthz', '/readyz', '/metrics'):
            reply = await admin.call('GET', path, token='none')
            assert reply.is_success
        assert 'spanfall_refusals_total{reason="deadline"} 0.0' in reply.text
        document = await admin.call('GET', '/openapi.json', token='none')
        assert '/admin/v1/apply' in document.json()['paths']

    with_admin(check)
