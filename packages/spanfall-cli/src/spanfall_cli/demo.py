"""Show the whole path at work in one process."""

import json
from dataclasses import dataclass

import click
import httpx
from spanfall_node.clients import new_http_client
from spanfall_standins.deployments import BROLGA, token_of
from spanfall_standins.fleet import Fleet, run_fleet
from spanfall_standins.texts import whole_text

PROMPT = 'Summarise the maintenance history of the Ipswich rink.'
JOB_SHEET = b'{"rink": "ipswich", "task": "resurface"}'
TOKENS = 60
#: Seconds that one step may take.
TIMEOUT = 30
_SUCCESS = 200


@dataclass(frozen=True, slots=True)
class DemoStep:
    """Hold one step of the demo and whether it went as it must."""

    name: str
    kept: bool
    detail: str


def read_events(text: str) -> str:
    """Return the whole text of a stream of completion events."""
    parts = []
    for line in text.splitlines():
        content = line.removeprefix('data: ')
        if line.startswith('data: ') and content != '[DONE]':
            choice = json.loads(content)['choices'][0]
            parts.append(choice['delta'].get('content', ''))
    return ''.join(parts)


async def ask_model(fleet: Fleet, client: httpx.AsyncClient) -> DemoStep:
    """Stream a chat completion through a node that is not its home."""
    entry = fleet.entry_apart_from(fleet.acting_home('frostmind'))
    reply = await client.post(
        f'{fleet.caller_url(entry)}/v1/chat/completions',
        headers={'Authorization': f'Bearer {token_of("rink-managers")}'},
        json={
            'model': 'frostmind',
            'stream': True,
            'max_tokens': TOKENS,
            'messages': [{'role': 'user', 'content': PROMPT}],
        },
    )
    text = read_events(reply.text)
    kept = text == whole_text(f'user: {PROMPT}', TOKENS)
    return DemoStep('chat', kept, f'{reply.status_code}: {text[:60]}...')


async def send_job_sheet(fleet: Fleet, client: httpx.AsyncClient) -> DemoStep:
    """Post a job sheet and check that it ran exactly once."""
    entry = fleet.entry_apart_from(fleet.acting_home('rinkdesk'))
    reply = await client.post(
        f'{fleet.caller_url(entry)}/services/rinkdesk/jobs',
        headers={
            'Authorization': f'Bearer {token_of("schedulers")}',
            'Idempotency-Key': 'sheet-1',
        },
        content=JOB_SHEET,
    )
    request_id = reply.headers.get('spanfall-request-id')
    runs = [
        record
        for worker in fleet.workers.values()
        for record in worker.records
        if record.request_id == request_id
    ]
    kept = reply.status_code == _SUCCESS and len(runs) == 1
    return DemoStep('job sheet', kept, f'{reply.status_code}: {reply.text}')


async def run_demo() -> list[DemoStep]:
    """Run all steps on a fleet of Brolga's size."""
    async with (
        run_fleet(BROLGA) as fleet,
        new_http_client(httpx.Timeout(TIMEOUT)) as client,
    ):
        return [
            await ask_model(fleet, client),
            await send_job_sheet(fleet, client),
        ]


def show_steps(steps: list[DemoStep], output: str) -> None:
    """Print the steps as a table or as JSON."""
    if output == 'json':
        rows = [
            {'step': row.name, 'kept': row.kept, 'detail': row.detail}
            for row in steps
        ]
        click.echo(json.dumps({'steps': rows}, indent=2))
        return
    for step in steps:
        mark = 'kept  ' if step.kept else 'BROKEN'
        click.echo(f'{mark} {step.name}: {step.detail}')
