"""Stand in for the platform's key-value service, as etcd's JSON gateway."""

import json
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from spanfall_node.embedded import EmbeddedKeyValue
from spanfall_node.keyvalue import KeyEntry, StoreError, WatchEvent
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from spanfall_standins.faults import Faults, set_faults

JsonMap = dict[str, Any]
Operation = Callable[[JsonMap], Awaitable[JsonMap]]

_UNAVAILABLE = 503


def decode_key(call: JsonMap) -> str:
    """Return the key of a call."""
    return b64decode(call['key']).decode()


def show_entry(entry: KeyEntry) -> JsonMap:
    """Return an entry as a ``KeyValue`` message."""
    return {
        'key': b64encode(entry.key.encode()).decode(),
        'value': b64encode(entry.value).decode(),
        'mod_revision': str(entry.revision),
    }


class KeyValueServer:
    """Serve an embedded table over the published protocol, with faults."""

    def __init__(self, table: EmbeddedKeyValue) -> None:
        """Serve a table."""
        self.table = table
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        operations: dict[str, Operation] = {
            'kv/range': self.range,
            'kv/txn': self.transact,
            'kv/put': self.put,
            'kv/deleterange': self.delete,
            'lease/grant': self.grant,
            'lease/keepalive': self.keep_alive,
        }
        routes = [
            Route(f'/v3/{path}', self._endpoint(path, run), methods=['POST'])
            for path, run in operations.items()
        ]
        return Starlette(
            routes=[
                *routes,
                Route('/v3/watch', self.watch, methods=['POST']),
                Route('/_faults', self.change_faults, methods=['POST']),
                Route('/_calls', self.show_calls),
            ],
        )

    def _endpoint(
        self,
        path: str,
        run: Operation,
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(req: Request) -> Response:
            self.calls[path] += 1
            broken = await self.faults.before()
            if broken is not None:
                return broken
            try:
                reply = await run(await req.json())
            except StoreError as exc:
                return JSONResponse({'error': str(exc)}, status_code=400)
            reply['header'] = {'revision': str(self.table.revision)}
            is_write = path in {'kv/txn', 'kv/put'}
            answer = JSONResponse(reply)
            return self.faults.after(answer) if is_write else answer

        return endpoint

    async def range(self, call: JsonMap) -> JsonMap:
        """Return one key, or all with a prefix."""
        key = decode_key(call)
        if call.get('range_end'):
            entries = list((await self.table.list_prefix(key)).entries)
        else:
            entry = await self.table.get(key)
            entries = [] if entry is None else [entry]
        return {
            'kvs': [show_entry(entry) for entry in entries],
            'count': str(len(entries)),
        }

    async def transact(self, call: JsonMap) -> JsonMap:
        """Put one key if its revision is as compared."""
        compare = call['compare'][0]
        put = call['success'][0]['request_put']
        done = await self.table.replace(
            decode_key(put),
            b64decode(put['value']),
            int(compare['mod_revision']),
            int(put.get('lease', 0)),
        )
        return {'succeeded': done}

    async def put(self, call: JsonMap) -> JsonMap:
        """Put one key."""
        await self.table.put(
            decode_key(call),
            b64decode(call['value']),
            int(call.get('lease', 0)),
        )
        return {}

    async def delete(self, call: JsonMap) -> JsonMap:
        """Delete one key."""
        await self.table.delete(decode_key(call))
        return {}

    async def grant(self, call: JsonMap) -> JsonMap:
        """Grant a lease."""
        lease = await self.table.grant(int(call['TTL']))
        return {'ID': str(lease), 'TTL': str(call['TTL'])}

    async def keep_alive(self, call: JsonMap) -> JsonMap:
        """Renew a lease."""
        alive = await self.table.keep_alive(int(call['ID']))
        return {'result': {'ID': call['ID'], 'TTL': '1' if alive else '0'}}

    async def watch(self, req: Request) -> Response:
        """Stream the writes under a prefix."""
        self.calls['watch'] += 1
        broken = await self.faults.before()
        if broken is not None:
            return broken
        create = (await req.json())['create_request']
        after = int(create.get('start_revision', 0)) - 1
        return StreamingResponse(
            self._events(decode_key(create), after),
            media_type='application/json',
        )

    async def _events(self, prefix: str, after: int) -> AsyncIterator[bytes]:
        yield b'{"result":{"created":true}}\n'
        try:
            async for event in self.table.watch(prefix, after):
                if self.faults.down:
                    raise ConnectionAbortedError
                yield self._show_event(event)
        except StoreError:
            yield b'{"result":{"canceled":true}}\n'

    def _show_event(self, event: WatchEvent) -> bytes:
        row = {
            'type': 'DELETE' if event.deleted else 'PUT',
            'kv': show_entry(event.entry),
        }
        return f'{json.dumps({"result": {"events": [row]}})}\n'.encode()

    async def change_faults(self, req: Request) -> Response:
        """Change the faults in force."""
        return await set_faults(self.faults, req)

    async def show_calls(self, req: Request) -> Response:
        """Show how often each operation was called."""
        return JSONResponse(dict(self.calls))
