"""Stand-ins of the platform: its store and its cloud API, as the pages say.

Both run in the event loop of the script. Only the standard library is used.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


async def read_message(reader):
    """Return the first line, the headers and the body of a request, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


class HttpServer:
    """Serve JSON calls on a free loopback port."""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(' ')
                reply = await self.answer(method, target, headers, body)
                if reply is None:
                    break
                status, content = reply
                payload = json.dumps(content).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's metadata store: items, leases and transactions."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 10
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.history = []

    def put(self, key, content, lease=0):
        """Write an item as the operator or a worker; return the revision."""
        self._expire()
        self.revision += 1
        self._set(key, base64.b64encode(json.dumps(content).encode()).decode(), lease)
        return self.revision

    def delete(self, key):
        """Remove an item as a worker."""
        self.revision += 1
        self._drop(key)

    def _set(self, key, value, lease):
        known = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._notify(dict(item))

    def _drop(self, key):
        if self.items.pop(key, None) is not None:
            self._notify({'key': key, 'revision': self.revision, 'deleted': True})

    def _notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [key for key, row in self.leases.items() if row[1] < now]:
            self._end(lease)

    def _end(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        held = [key for key, item in self.items.items() if item['lease'] == lease]
        if held:
            self.revision += 1
        for key in held:
            self._drop(key)
        return True

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        self._expire()
        parts = urlsplit(target)
        query = {key: row[0] for key, row in parse_qs(parts.query).items()}
        path = parts.path
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at_revision': self.revision}
            return 200, {**item, 'at_revision': self.revision}
        if path == '/-/kv-range':
            rows = sorted(
                (key, item)
                for key, item in self.items.items()
                if key.startswith(query['path_prefix']) and key > query.get('after', '')
            )
            return 200, {
                'items': [item for _, item in rows[:500]],
                'has_more': len(rows) > 500,
                'at_revision': self.revision,
            }
        if path == '/-/kv-txn':
            return self._transact(json.loads(body))
        if path == '/-/kv-lease':
            ttl = json.loads(body)['ttl_ms']
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': self.next_lease, 'ttl_ms': ttl}
        number = int(path.rpartition('/')[2])
        if path.startswith('/-/kv-keep/'):
            if number not in self.leases:
                return 404, {}
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'ttl_ms': ttl}
        return (200 if self._end(number) else 404), {}

    def _transact(self, call):
        expected = call.get('expected_revision', [])
        for row in expected:
            known = self.items.get(row['key'])
            if (known['revision'] if known else 0) != row['revision']:
                found = [self.items[r['key']] for r in expected if r['key'] in self.items]
                return 412, {'items': found}
        for row in call.get('puts', []):
            if row['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in call.get('puts', []):
            self._set(row['key'], row['value'], row.get('lease', 0))
        for key in call.get('remove', []):
            self._drop(key)
        return 200, {'revision': self.revision}


class Cloud(HttpServer):
    """The platform's cloud API, which accepts each call."""

    def __init__(self):
        self.calls = []

    async def answer(self, method, target, headers, body):
        self.calls.append(
            (
                time.monotonic(),
                target,
                headers.get('x-lease-holder'),
                int(headers.get('x-fencing-token', 0)),
                json.loads(body),
            )
        )
        return 200, {}
