"""Read the settings of a group of stand-ins."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from spanfall_api.settings import (
    SettingsError,
    describe_faults,
    load_document,
)

from spanfall_standins.application import WorkerSpeed
from spanfall_standins.engine import EngineSpeed


class Worker(BaseModel):
    """Name one upstream stand-in and its port."""

    model_config = ConfigDict(extra='forbid')

    name: str
    port: int = Field(ge=0, le=65535)


class EngineWorker(Worker):
    """Describe an engine."""

    speed: EngineSpeed = EngineSpeed()


class ApplicationWorker(Worker):
    """Describe an application worker."""

    speed: WorkerSpeed = WorkerSpeed()


class StandinSettings(BaseModel):
    """List the stand-ins that one process serves."""

    model_config = ConfigDict(extra='forbid')

    store_port: int | None = Field(default=None, ge=0, le=65535)
    engines: tuple[EngineWorker, ...] = ()
    applications: tuple[ApplicationWorker, ...] = ()


def read_standin_settings(path: Path) -> StandinSettings:
    """Read and check the settings, or raise SettingsError."""
    document = load_document(path)
    try:
        return StandinSettings.model_validate(document)
    except ValidationError as exc:
        raise SettingsError(str(path), describe_faults(exc)) from exc
