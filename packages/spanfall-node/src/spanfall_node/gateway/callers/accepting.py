"""Serve the connections of callers that the intake takes."""

import anyio
from anyio.abc import SocketStream

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.callers.intake_gate import IntakeGate


class GatedCallers:
    """Close connections unread that the intake does not take."""

    def __init__(self, callers: Callers, gate: IntakeGate) -> None:
        """Serve what the gate takes by the connections of callers."""
        self._callers = callers
        self._gate = gate

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve one connection, or close it before any byte is read."""
        if self._gate.takes():
            await self._callers.serve_connection(stream)
        else:
            await anyio.aclose_forcefully(stream)
