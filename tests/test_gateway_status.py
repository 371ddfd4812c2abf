"""Test the listener for health checks and metrics."""

import httpx
import pytest
from gateway_world import in_world
from spanfall_node.gateway import lifecycle


async def call(state, method, path):
    """Make a call to the listener and return the response."""
    address = state.cfg.listen.readiness
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.request(method, f'http://{address}{path}')


# Guards against a HEAD request that ends the whole process.
@pytest.mark.parametrize('path', ['/metrics', '/ready', '/none'])
def test_head_gets_headers_alone(path):
    @in_world
    async def play(world):
        state = await world.add_gateway()
        head = await call(state, 'HEAD', path)
        got = await call(state, 'GET', path)
        assert (head.status_code, head.content) == (got.status_code, b'')
        assert got.headers['content-length'] == str(len(got.content))

    play()


# Guards against an error on one connection that ends the listener.
def test_an_error_ends_only_its_connection(monkeypatch):
    @in_world
    async def play(world):
        state = await world.add_gateway()
        with monkeypatch.context() as patch:
            patch.setattr(lifecycle, 'generate_latest', None)
            with pytest.raises(httpx.RemoteProtocolError):
                await call(state, 'GET', '/metrics')
        assert (await call(state, 'GET', '/metrics')).status_code == 200

    play()
