"""Let tests and traces break a stand-in: down, slow, lost answers, pauses."""

import logging
from dataclasses import dataclass

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

logger = logging.getLogger(__name__)

_UNAVAILABLE = 503


@dataclass(slots=True)
class Faults:
    """Hold the faults in force at a stand-in.

    ``lose_answers`` counts calls whose effect happens but whose answer is
    an error; ``delay`` is seconds added to each call.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    cut_after: int = 0
    paused: bool = False

    async def before(self) -> Response | None:
        """Wait out delays and pauses; return an error if it is down."""
        if self.delay:
            await anyio.sleep(self.delay)
        while self.paused:
            await anyio.sleep(0.01)
        if self.down:
            return JSONResponse({'error': 'down'}, status_code=_UNAVAILABLE)
        return None

    def after(self, reply: Response) -> Response:
        """Replace the answer of a call that took effect, if told to."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return JSONResponse({'error': 'lost'}, status_code=_UNAVAILABLE)
        return reply


async def set_faults(faults: Faults, req: Request) -> Response:
    """Change faults by a JSON object of their names."""
    wanted = await req.json()
    for name, setting in wanted.items():
        if name not in Faults.__slots__:
            return JSONResponse({'error': name}, status_code=400)
        setattr(faults, name, setting)
    logger.info('Faults are now %s', faults)
    return JSONResponse({'done': True})
