"""Test what a stream reports of the end of its connection."""

from contextlib import suppress

import anyio
import pytest
from spanfall_node.gateway.net.bounded_stream import open_stream
from spanfall_standins.gateway.raw_server import start_raw_server
from support import run_async, wait_until


def run_after(script, check):
    """Check a connection whose server has run a script, and closed it."""

    async def main():
        has_run = anyio.Event()

        async def run(conn):
            await script(conn)
            has_run.set()

        async with anyio.create_task_group() as tasks:
            stream = await open_stream(await start_raw_server(tasks, run))
            await has_run.wait()
            await wait_until(stream.has_hung_up)
            await check(stream)
            stream.close()
            tasks.cancel_scope.cancel()

    run_async(main)


async def send_and_reset(conn):
    await conn.send(b'part')
    conn.reset()


async def send_and_close(conn):
    await conn.send(b'all')
    conn.sock.close()


# Guards against a reset that looks like a close to the reader since the writer
# has been told of it.
@pytest.mark.parametrize('writes', [0, 1, 2])
def test_a_reset_is_no_close(writes):
    async def check(stream):
        for _ in range(writes):
            with suppress(anyio.BrokenResourceError):
                await stream.send(b'more')
        assert await stream.receive() == b'part'
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive()

    run_after(send_and_reset, check)


# Guards against a close that looks like a reset to the reader.
def test_a_close_is_no_reset():
    async def check(stream):
        assert await stream.receive() == b'all'
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()

    run_after(send_and_close, check)
