"""Set up logging: JSON lines with the request id where there is one."""

import logging
import sys
from contextvars import ContextVar

from pythonjsonlogger.json import JsonFormatter
from spanfall_api.settings import Logging

#: Id of the request that the current task works on.
request_id_var: ContextVar[str] = ContextVar('request_id', default='')

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s %(request_id)s'


class RequestIdFilter(logging.Filter):
    """Add the request id to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set ``request_id`` and keep the record."""
        record.request_id = request_id_var.get()
        return True


def set_up_logging(cfg: Logging) -> None:
    """Send the log to standard error in the chosen format."""
    stream = logging.StreamHandler(sys.stderr)
    stream.addFilter(RequestIdFilter())
    if cfg.format == 'json':
        stream.setFormatter(JsonFormatter(_FIELDS))
    else:
        stream.setFormatter(
            logging.Formatter(
                '%(asctime)s %(levelname)-7s %(name)s %(message)s',
            ),
        )
    logging.basicConfig(level=cfg.level, handlers=[stream], force=True)
    for name in ('httpx', 'httpcore', 'websockets', 'hypercorn.access'):
        logging.getLogger(name).setLevel(logging.WARNING)
