"""Tell which scheduling features are in force for a service."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique

from spanfall_api.gateway_settings import Mode, SchedulingSettings

logger = logging.getLogger(__name__)


@unique
class Feature(StrEnum):
    """Name the features, as in the settings."""

    CONTENTION = 'contention'
    UPSTREAM_SPEEDS = 'upstream_speeds'
    CAPACITY = 'capacity'


@dataclass(slots=True)
class Scheduling:
    """Hold the modes of the features and what upstreams call for.

    In mode ``auto`` a feature is in force for the services whose upstreams
    share hosts with others: their speed changes with the work of others, so the
    configured figures do not tell what they can serve.
    """

    cfg: SchedulingSettings
    #: Services with an upstream that stated the slowdown of its host.
    shared_host_services: set[str] = field(default_factory=set)

    def is_on(self, feature: Feature, service: str) -> bool:
        """Return whether a feature is in force for a service."""
        mode = getattr(self.cfg, feature.value)
        if mode is Mode.AUTO:
            return service in self.shared_host_services
        return mode is Mode.ON

    def add_shared_host_services(self, services: Iterable[str]) -> None:
        """Add services whose upstreams share hosts with others."""
        added = set(services) - self.shared_host_services
        if added:
            self.shared_host_services |= added
            logger.info(
                'Upstreams of %s share hosts with others; features in mode '
                'auto are in force for them',
                ', '.join(sorted(added)),
            )
