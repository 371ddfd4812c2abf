"""Send 20,000 requests and print the resident memory after each quarter.

Usage: python bench/memory.py
"""

import json
import time

import anyio
import httpx
import processes
import traffic
from processes import node_document, run_processes

ROUNDS = 5
ROUND_CALLS = 3_800
ROUND_CHATS = 200
CHAT_TOKENS = 5
HOLD_SECONDS = 2
MEGABYTE = 1_000_000


def short_hold(plan: object, number: int, base: int) -> dict[str, object]:
    """Return settings of a node that holds answers for a short time."""
    document = node_document(plan, number, base)
    document['times'] = {'answer_hold': HOLD_SECONDS}
    return document


async def run_chats(url: str, chats: int) -> None:
    """Read as many short streams, some at a time."""
    limit = anyio.Semaphore(traffic.WORKERS)

    async def chat(client: httpx.AsyncClient) -> None:
        async with limit:
            await traffic.read_all(client, url, CHAT_TOKENS)

    async with (
        httpx.AsyncClient(headers=traffic.HEADERS, timeout=None) as client,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(chats):
            tasks.start_soon(chat, client)


def main() -> None:
    """Print the megabytes of each node after each round."""
    processes.node_document = short_hold
    rows = []
    with run_processes(traffic.PLAN, traffic.SPEED) as fleet:
        for number in range(ROUNDS):
            url = fleet.caller(number % 2)
            anyio.run(traffic.run_calls, url, ROUND_CALLS)
            anyio.run(run_chats, url, ROUND_CHATS)
            time.sleep(2 * HOLD_SECONDS)
            rows.append(
                [round(fleet.memory(node) / MEGABYTE, 1) for node in (0, 1)],
            )
    total = ROUNDS * (ROUND_CALLS + ROUND_CHATS)
    print(json.dumps({'requests': total, 'megabytes': rows}))


if __name__ == '__main__':
    main()
