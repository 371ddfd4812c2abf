"""Build the submitted form of a caller's request."""

from uuid import uuid4

from spanfall_api.frames import Header, Submit
from spanfall_api.objects import Service, Workspace
from starlette.requests import Request

from spanfall_node.log import request_id_var
from spanfall_node.rendering import REQUEST_ID_HEADER
from spanfall_node.rules import Target
from spanfall_node.terms import MILLISECONDS, read_terms
from spanfall_node.upstream_calls import HOP_HEADERS

#: Headers of a caller that are meant for spanfall alone.
OWN_HEADERS = frozenset(
    (
        'authorization',
        'spanfall-deadline-ms',
        'spanfall-priority',
    ),
)
#: Letter in a request id that says how its answer is rendered.
CHAT_MARK = 'c'
TEXT_MARK = 't'
CALL_MARK = 'a'


def build_submit(
    req: Request,
    workspace: Workspace,
    target: Target,
    service: Service,
    node_id: str,
    mark: str,
) -> Submit:
    """Return a request without its body, under a new request id.

    Raises:
        RefusedError: a header with a term of the request is malformed.
    """
    terms = read_terms(req)
    deadline = terms.deadline
    if deadline is None and target.deadline_ms is not None:
        deadline = target.deadline_ms / MILLISECONDS
    if deadline is None:
        deadline = service.queue_seconds
    priority = target.priority
    if terms.priority is not None:
        priority = terms.priority
    request_id = f'{service.name}.{node_id}.{mark}{uuid4().hex}'
    request_id_var.set(request_id)
    return Submit(
        request_id=request_id,
        attempt=1,
        service=service.name,
        workspace=workspace.name,
        service_kind=service.kind,
        idempotent=target.idempotent,
        key=terms.key,
        priority=priority,
        deadline=deadline,
        life=service.life_seconds,
    )


def passed_headers(req: Request, request_id: str) -> tuple[Header, ...]:
    """Return the headers of a call that its upstream receives."""
    passed = [
        (name, text)
        for name, text in req.headers.items()
        if name not in HOP_HEADERS and name not in OWN_HEADERS
    ]
    return (*passed, (REQUEST_ID_HEADER.lower(), request_id))
