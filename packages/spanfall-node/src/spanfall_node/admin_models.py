"""Define the bodies of requests on the admin port."""

from typing import Any

from pydantic import BaseModel, ConfigDict


class ObjectDocument(BaseModel):
    """Name an object to apply with its kind."""

    model_config = ConfigDict(extra='forbid')

    kind: str
    object: dict[str, Any]


class ApplyRequest(BaseModel):
    """Ask for many objects to be put in one accepted revision."""

    model_config = ConfigDict(extra='forbid')

    objects: list[ObjectDocument]
    dry_run: bool = False
    operation_id: str = ''


class SelectRequest(BaseModel):
    """Ask which objects of a kind a selector matches."""

    kind: str
    selector: str


class ExplainRequest(BaseModel):
    """Ask where a request would go."""

    workspace: str
    name: str
    method: str = 'POST'
    path: str = ''
    model: bool = True


class LabelsRequest(BaseModel):
    """Ask for labels to be set, or removed where the value is null."""

    labels: dict[str, str | None]
