"""Bundle what all parts of a node share."""

from dataclasses import dataclass

from anyio.abc import TaskGroup
from spanfall_api.settings import NodeSettings

from spanfall_node.keyvalue import KeyValue
from spanfall_node.links import Links
from spanfall_node.metrics import Metrics
from spanfall_node.timers import Timers


@dataclass(slots=True)
class Context:
    """Hold the shared services of a node; ``tasks`` runs background work."""

    cfg: NodeSettings
    timers: Timers
    metrics: Metrics
    links: Links
    store: KeyValue
    tasks: TaskGroup
    incarnation: int
    draining: bool = False

    @property
    def node_id(self) -> str:
        """Return the id of this node."""
        return self.cfg.node_id

    def is_off(self, mechanism: str) -> bool:
        """Tell whether a mechanism is switched off to test a checker."""
        return mechanism in self.cfg.mechanisms_off
