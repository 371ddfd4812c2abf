"""Tell which scheduling features are in force for a service."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique

from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_core.gateway.known.configuration import ServedConfiguration
from spanfall_core.gateway.known.patience import (
    PATIENT_TARGETS,
    impatient_services,
)

logger = logging.getLogger(__name__)


@unique
class Feature(StrEnum):
    """Name the features, as in the settings."""

    CONTENTION = 'contention'
    UPSTREAM_SPEEDS = 'upstream_speeds'
    CAPACITY = 'capacity'


#: Features that are in force, too, where callers are impatient.
IMPATIENT_FEATURES = frozenset((Feature.CONTENTION, Feature.CAPACITY))


@dataclass(slots=True)
class Scheduling:
    """Hold the modes of the features and what upstreams call for.

    In mode ``auto`` a feature is in force for the services whose upstreams
    share hosts with others: their speed changes with the work of others, so the
    configured figures do not tell what they can serve. Admission and orders
    are in force, too, for those whose most urgent callers are impatient.
    """

    cfg: SchedulingSettings
    #: Services with an upstream that stated the slowdown of its host.
    shared_host_services: set[str] = field(default_factory=set)
    #: Services whose configuration gives urgent callers little time to wait.
    impatient_services: frozenset[str] = frozenset()

    def is_on(self, feature: Feature, service: str) -> bool:
        """Return whether a feature is in force for a service."""
        mode = getattr(self.cfg, feature.value)
        if mode is not Mode.AUTO:
            return mode is Mode.ON
        if feature in IMPATIENT_FEATURES and service in self.impatient_services:
            return True
        return service in self.shared_host_services

    def apply_configuration(self, configuration: ServedConfiguration) -> None:
        """Follow a configuration that is now in force."""
        impatient = impatient_services(configuration)
        if impatient != self.impatient_services:
            self.impatient_services = impatient
            logger.info(
                'Services whose most urgent callers wait for under %s latency '
                'targets: %s',
                PATIENT_TARGETS,
                ', '.join(sorted(impatient)) or 'none',
            )

    def is_on_anywhere(self, feature: Feature) -> bool:
        """Return whether a feature is in force for any service."""
        mode = getattr(self.cfg, feature.value)
        if mode is not Mode.AUTO:
            return mode is Mode.ON
        if feature in IMPATIENT_FEATURES and self.impatient_services:
            return True
        return bool(self.shared_host_services)

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
