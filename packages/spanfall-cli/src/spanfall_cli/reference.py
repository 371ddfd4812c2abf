"""Write the settings reference from the settings models."""

from collections.abc import Iterator
from typing import Any, get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined
from spanfall_api.settings import NodeSettings

_HEAD = """# Settings of a node

This page is made by `spanfall settings reference`; a test keeps it current.
Settings are JSON with comments. An unknown name is a fault, and all faults of
a file are reported at once. Times are seconds, sizes bytes.

| setting | type | default |
| --- | --- | --- |
"""


def write_reference() -> str:
    """Return the reference as Markdown."""
    rows = (
        f'| `{name}` | {kind} | {default} |'
        for name, kind, default in list_settings(NodeSettings, '')
    )
    return '{0}{1}\n'.format(_HEAD, '\n'.join(rows))


def list_settings(
    model: type[BaseModel],
    prefix: str,
) -> Iterator[tuple[str, str, str]]:
    """Yield path, type and default of each setting of a model."""
    for name, field in model.model_fields.items():
        path = f'{prefix}{name}'
        section = section_of(field.annotation)
        if section is None:
            yield path, type_name(field.annotation), default_text(field)
        else:
            is_list = section is not field.annotation
            ending = '[].' if is_list else '.'
            yield from list_settings(section, path + ending)


def section_of(annotation: Any) -> type[BaseModel] | None:
    """Return the model that a setting holds, alone or in a list."""
    candidates = (annotation, *get_args(annotation))
    return next(
        (
            row
            for row in candidates
            if isinstance(row, type) and issubclass(row, BaseModel)
        ),
        None,
    )


def type_name(annotation: Any) -> str:
    """Return a type as readers know it from JSON."""
    text = getattr(annotation, '__name__', None) or str(annotation)
    if get_args(annotation):
        text = str(annotation)
    for word in ('typing.', 'spanfall_api.settings.'):
        text = text.replace(word, '')
    return '`{0}`'.format(text.replace('|', r'\|'))


def default_text(field: FieldInfo) -> str:
    """Return a default as JSON readers know it."""
    if field.default is PydanticUndefined:
        return 'required'
    return f'`{field.default!r}`'
