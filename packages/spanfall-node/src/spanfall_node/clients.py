"""Make HTTP clients that share one TLS context, which is slow to build."""

import ssl
from functools import cache

import httpx


@cache
def client_context() -> ssl.SSLContext:
    """Return the TLS context of all outgoing HTTP calls."""
    return ssl.create_default_context()


def new_http_client(
    timeout: httpx.Timeout,
    limits: httpx.Limits | None = None,
) -> httpx.AsyncClient:
    """Return a client that ignores proxies named in the environment."""
    return httpx.AsyncClient(
        timeout=timeout,
        limits=limits or httpx.Limits(max_connections=None),
        verify=client_context(),
        trust_env=False,
    )
