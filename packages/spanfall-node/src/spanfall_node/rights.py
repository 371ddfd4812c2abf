"""Get the right to run a request that must not run twice.

Without a key the entry permits one attempt; with a key the claim log of the
service in the key-value service decides.
"""

from collections.abc import Callable

from spanfall_api.frames import AskPermit, Permit
from spanfall_core.claims import Claim, Verdict
from spanfall_core.effects import Dispatch, Right

from spanfall_node.catalog import hash_token
from spanfall_node.claim_store import ClaimStore
from spanfall_node.context import Context
from spanfall_node.held import Held

#: Called with the verdict on a pending dispatch and the holder of the right.
Decided = Callable[[Held, Dispatch, Verdict, str], None]


class Rights:
    """Ask for rights and report what was decided."""

    def __init__(
        self,
        context: Context,
        claims: ClaimStore,
        decided: Decided,
    ) -> None:
        """Report each decision to ``decided``, once a dispatch."""
        self._context = context
        self._claims = claims
        self._decided = decided

    def ask(self, held: Held, effect: Dispatch) -> None:
        """Ask for the right that a dispatch needs."""
        held.pending = effect
        if effect.right is Right.CLAIM and held.claimed:
            # Only runs that provably did not run lead to another dispatch.
            self._decide(held, effect, Verdict.GRANTED)
        elif effect.right is Right.CLAIM:
            self._ask_claim(held)
        elif effect.right is Right.PERMIT and not self._is_off('permits'):
            self._ask_permit(held)
        else:
            self._decide(held, effect, Verdict.GRANTED)

    def take_permit(self, held: Held, frame: Permit) -> None:
        """Take the entry's answer; an answer to an older attempt is void."""
        pending = held.pending
        if pending is None or pending.right is not Right.PERMIT:
            return
        is_current = frame.granted and frame.attempt == held.row.attempt
        verdict = Verdict.GRANTED if is_current else Verdict.TAKEN
        self._decide(held, pending, verdict)

    def _ask_permit(self, held: Held) -> None:
        follower = next(iter(held.followers.values()), None)
        if follower is not None:
            frame = AskPermit(
                request_id=held.request_id,
                attempt=held.row.attempt,
            )
            follower.link.send(frame)

    def _ask_claim(self, held: Held) -> None:
        submit = held.submit
        pending = held.pending
        scope = f'{submit.workspace}\0{submit.service}\0{submit.key}'
        now = self._context.timers.epoch()
        claim = Claim(hash_token(scope), held.request_id, now)

        def tell(verdict: Verdict, holder: str) -> None:
            if pending is not None and held.pending is pending:
                self._decide(held, pending, verdict, holder)

        self._claims.ask(submit.service, claim, tell)

    def _decide(
        self,
        held: Held,
        effect: Dispatch,
        verdict: Verdict,
        holder: str = '',
    ) -> None:
        held.pending = None
        if effect.right is Right.CLAIM and verdict is Verdict.GRANTED:
            held.claimed = True
        self._decided(held, effect, verdict, holder)

    def _is_off(self, mechanism: str) -> bool:
        return self._context.is_off(mechanism)
