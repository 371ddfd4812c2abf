"""Start an example fleet as processes of their own, and stop it on Ctrl-C.

Usage: python examples/run_fleet.py brolga|muestras
"""

import json
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

HERE = Path(__file__).parent
READY_SECONDS = 60
STOP_SECONDS = 30


def start(*arguments: str) -> subprocess.Popen[bytes]:
    """Start one process of the example."""
    return subprocess.Popen([sys.executable, '-m', *arguments])


def wait_ready(folder: Path) -> str:
    """Wait until all nodes are ready; return an admin address."""
    addresses = []
    for path in sorted(folder.glob('node-*.jsonc')):
        document = json.loads(path.read_text().split('\n', 1)[1])
        addresses.append(f'http://127.0.0.1:{document["admin"]["port"]}')
    deadline = time.monotonic() + READY_SECONDS
    for address in addresses:
        while not is_ready(address):
            if time.monotonic() > deadline:
                raise SystemExit(f'{address} is not ready')
            time.sleep(0.2)
    return addresses[0]


def is_ready(address: str) -> bool:
    """Tell whether a node is ready."""
    try:
        with urllib.request.urlopen(f'{address}/readyz') as reply:
            return reply.status == 200
    except OSError:
        return False


def main() -> None:
    """Run one example fleet in the foreground."""
    folder = HERE / sys.argv[1]
    rows = [
        start('spanfall_standins', '--settings', f'{folder}/standins.jsonc'),
    ]
    for path in sorted(folder.glob('node-*.jsonc')):
        rows.append(start('spanfall_node', '--settings', str(path)))
    try:
        admin = wait_ready(folder)
        subprocess.run(
            [
                *(sys.executable, '-m', 'spanfall_cli'),
                *('apply', f'{folder}/objects.jsonc'),
                *('--admin', admin, '--token', 'operator-token'),
            ],
            check=True,
        )
        print(f'{folder.name} runs; Ctrl-C stops it', flush=True)
        rows[0].wait()
    except KeyboardInterrupt:
        print('stopping')
    finally:
        for row in reversed(rows):
            row.terminate()
        for row in reversed(rows):
            row.wait(STOP_SECONDS)


if __name__ == '__main__':
    main()
