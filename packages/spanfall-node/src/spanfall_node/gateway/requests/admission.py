"""Admit or refuse a request before it is sent to any upstream."""

from dataclasses import dataclass

from spanfall_core.gateway.crashes.traits import Trait, request_traits
from spanfall_core.gateway.known.configuration import (
    Route,
    RouteKind,
    ServedConfiguration,
    ServedWorkspace,
)
from spanfall_core.gateway.known.identity import (
    RequestIdentity,
    request_identity,
)
from spanfall_core.gateway.known.prefixes import PromptPart, short_part_id
from spanfall_core.gateway.known.stream_origins import StreamKey, stream_key
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.net.ports import HeaderNames
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.requests.refusals import (
    EndsUpstreamsError,
    RefusedError,
    UnitsMissingError,
)
from spanfall_node.gateway.requests.resumption import (
    Resumption,
    read_resumption,
    resumable_seconds,
)
from spanfall_node.gateway.tables.state import GatewayState

#: Retry-After seconds while a node has no configuration, or only a stale one.
NOT_READY_RETRY_SECONDS = 0.5
#: Bounds of the Retry-After seconds for a caller that exceeds its quota.
MAX_QUOTA_RETRY_SECONDS = 5.0
MIN_QUOTA_RETRY_SECONDS = 0.1
#: Maximum parts of a prompt that requests share and routing looks at: each is
#: kept for each upstream that has read it.
MAX_SHARED_PARTS = 64
#: Maximum digits of a number in a header; a longer one is no time or count.
MAX_NUMBER_DIGITS = 12


@dataclass(slots=True)
class AdmittedRequest:
    """Hold an admitted request and what admission determined for it."""

    req: CallerRequest
    body: bytes
    attempt_id: str
    #: Its identity, and the parts that its prompt may share with others.
    traits: tuple[Trait, ...]
    route: Route
    service: str
    workspace: ServedWorkspace | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    #: Units spent from the workspace's quota.
    units: float
    began_at: float
    #: Time of the steady clock by which the response must be complete.
    deadline: float
    #: The stream that the request resumes, if it does.
    resumption: Resumption | None = None
    #: Key of its own stream, if its caller may resume that, and the time until
    #: which it may.
    stream: StreamKey | None = None
    resumable_until: float = 0
    #: Whether the request was counted for the usage report.
    counted: bool = False

    @property
    def identity(self) -> RequestIdentity:
        """Return the identity of the request, the same for each attempt."""
        return RequestIdentity(self.traits[0])

    def stream_of(self, attempt_id: str) -> StreamKey:
        """Return the key of an attempt's stream of this caller and route."""
        caller = self.workspace.name if self.workspace else ''
        return stream_key(caller, self.route.name, attempt_id)


def admit(
    state: GatewayState,
    req: CallerRequest,
    body: bytes,
    began_at: float,
) -> AdmittedRequest:
    """Find a request's route and workspace, and spend units of its quota.

    Raises:
        RefusedError: the request is refused; it was sent to no upstream.
    """
    route, workspace = find_target(state, req, began_at)
    names = state.platform.names
    parts = prompt_parts(req, names)
    traits = request_traits(_identity(req, body, workspace), parts)
    _check_quarantine(state, traits, began_at)
    tokens = token_counts(req, names)
    units = _units(workspace, sum(tokens))
    _spend_quota(state, workspace, units, began_at)
    attempt_id = req.header(names.attempt_id)
    resumption = read_resumption(req, names, route)
    stated = _stated_patience(req, names)
    admitted = AdmittedRequest(
        req=req,
        body=body,
        attempt_id=attempt_id,
        traits=traits,
        route=route,
        service=route.service_for(
            resumption.first_attempt if resumption else attempt_id
        ),
        workspace=workspace,
        parts=parts,
        prompt_tokens=tokens[0],
        units=units,
        began_at=began_at,
        deadline=began_at + _request_timeout(route, stated),
        resumption=resumption,
        resumable_until=began_at + resumable_seconds(route, stated),
    )
    if attempt_id and route.kind is RouteKind.STREAM and route.resumable:
        admitted.stream = admitted.stream_of(attempt_id)
    return admitted


def find_target(
    state: GatewayState, req: CallerRequest, now: float
) -> tuple[Route, ServedWorkspace | None]:
    """Return the route of a request and the workspace of its caller.

    Raises:
        RefusedError: there is none, or the caller may not use it.
    """
    configuration = state.configuration
    if configuration is None:
        raise RefusedError(
            503,
            RefusalReason.NODE_NOT_READY,
            NOT_READY_RETRY_SECONDS,
            is_transient=True,
        )
    route = configuration.find_route(req.host, req.path)
    if route is None:
        raise RefusedError(404, RefusalReason.UNKNOWN_SERVICE)
    return route, _workspace(state, configuration, route, req, now)


def seconds_to_serve(
    state: GatewayState, route: Route, req: CallerRequest
) -> float:
    """Return the seconds that a request has from its head on."""
    return _request_timeout(route, _stated_patience(req, state.platform.names))


def token_counts(req: CallerRequest, names: HeaderNames) -> tuple[int, int]:
    """Return a request's prompt tokens and maximum output tokens."""
    numbers = [
        int(text)
        for text in req.header(names.token_counts).split(',')
        if _is_number(text)
    ]
    if len(numbers) != 2:
        return 0, 0
    return numbers[0], numbers[1]


def prompt_parts(
    req: CallerRequest,
    names: HeaderNames,
) -> tuple[PromptPart, ...]:
    """Return the parts of a request's prompt, in prompt order.

    Of very many, the first ones and the last, which is the request's own.
    """
    *entries, rest = req.header(names.prompt_parts).split(',', MAX_SHARED_PARTS)
    entries.append(rest.rpartition(',')[2])
    pairs = (entry.strip().partition(':') for entry in entries)
    return tuple(
        PromptPart(short_part_id(part_id), int(tokens))
        for part_id, _, tokens in pairs
        if _is_number(tokens)
    )


def _identity(
    req: CallerRequest,
    body: bytes,
    workspace: ServedWorkspace | None,
) -> RequestIdentity:
    caller = workspace.name if workspace else ''
    return request_identity(caller, req.host, req.method, req.target, body)


def _check_quarantine(
    state: GatewayState, traits: tuple[Trait, ...], now: float
) -> None:
    refused = state.crashes.table.verdicts.refused(traits, now)
    if refused:
        raise EndsUpstreamsError(refused)


def _is_number(text: str) -> bool:
    stripped = text.strip()
    return stripped.isdecimal() and len(stripped) <= MAX_NUMBER_DIGITS


def _stated_patience(req: CallerRequest, names: HeaderNames) -> float | None:
    """Return the seconds for which the caller waits, if it states them."""
    text = req.header(names.deadline_ms)
    return int(text) / 1000 if _is_number(text) else None


def _request_timeout(route: Route, stated: float | None) -> float:
    return route.timeout if stated is None else min(route.timeout, stated)


def _workspace(
    state: GatewayState,
    configuration: ServedConfiguration,
    route: Route,
    req: CallerRequest,
    now: float,
) -> ServedWorkspace | None:
    """Return the workspace of a request; a route without keys needs none."""
    if not configuration.workspaces:
        return None
    is_fresh = state.freshness.may_serve_keys(now)
    if route.needs_key and not is_fresh:
        raise RefusedError(
            503,
            RefusalReason.STALE_CONFIGURATION,
            NOT_READY_RETRY_SECONDS,
        )
    scheme, _, key = req.header(b'authorization').partition(' ')
    expected = state.platform.names.key_scheme.decode().lower()
    known = configuration.find_workspace(key.strip())
    if is_fresh and known is not None and scheme.lower() == expected:
        return known
    if route.needs_key:
        raise RefusedError(401, RefusalReason.UNAUTHENTICATED)
    return None


def _units(workspace: ServedWorkspace | None, tokens: int) -> float:
    if workspace is None or not workspace.rate:
        return 0
    if not workspace.counts_tokens:
        return 1
    return tokens or workspace.default_tokens


def _spend_quota(
    state: GatewayState,
    workspace: ServedWorkspace | None,
    units: float,
    now: float,
) -> None:
    if workspace is None or not workspace.rate:
        return
    limit = state.limits_at(now)[workspace.name]
    if state.quotas.try_spend(workspace.name, limit, units, now):
        return
    held_units = state.quotas.available(workspace.name, limit, now)
    refill_seconds = (units - held_units) / workspace.rate
    raise UnitsMissingError(
        workspace.name,
        units,
        min(
            MAX_QUOTA_RETRY_SECONDS,
            max(MIN_QUOTA_RETRY_SECONDS, refill_seconds),
        ),
        is_transient=state.quotas.may_get_more(workspace.name, units, now),
        detail=(
            f'{workspace.name}: {units} units asked, {held_units:.0f} left here '
            f'of {limit.total:.0f}'
        ),
    )
