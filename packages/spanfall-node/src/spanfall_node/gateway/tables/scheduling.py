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


@dataclass(slots=True)
class Scheduling:
    """Hold the modes of the features and what upstreams call for.

    In mode ``auto`` a feature is in force for the services whose upstreams
    share hosts with others: their speed changes with the work of others, so the
    configured figures do not tell what they can serve. Admission and orders
    are in force, too, for those whose most urgent callers are impatient.
    Admission is so only for services with engines: calls that wait at the home
    leave short gaps at upstreams whose own queue would fill them.
    """

    cfg: SchedulingSettings
    #: Services with an upstream that stated the slowdown of its host.
    shared_host_services: set[str] = field(default_factory=set)
    #: Services whose configuration gives urgent callers little time to wait.
    impatient_services: frozenset[str] = frozenset()
    #: Services with engines.
    engine_services: frozenset[str] = frozenset()

    def is_on(self, feature: Feature, service: str) -> bool:
        """Return whether a feature is in force for a service."""
        mode = getattr(self.cfg, feature.value)
        if mode is not Mode.AUTO:
            return mode is Mode.ON
        return self._is_called_for(feature, service)

    def _is_called_for(self, feature: Feature, service: str) -> bool:
        """Return whether a service calls for a feature."""
        is_admission = feature is Feature.CONTENTION
        if is_admission and service not in self.engine_services:
            return False
        if service in self.shared_host_services:
            return True
        is_for_patience = feature is not Feature.UPSTREAM_SPEEDS
        return is_for_patience and service in self.impatient_services

    def apply_configuration(self, configuration: ServedConfiguration) -> None:
        """Follow a configuration that is now in force."""
        self.engine_services = frozenset(
            service.name
            for service in configuration.services.values()
            if service.engine is not None
        )
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
        known = self.shared_host_services | self.impatient_services
        return any(self._is_called_for(feature, name) for name in known)

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
