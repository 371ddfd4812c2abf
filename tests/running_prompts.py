"""Run prompts at upstreams that read one after the other."""

from heapq import heappop, heappush

from spanfall_core.gateway.known.loads import Loads


class RunningPrompts:
    """Count prompts as loads until they have been read and have ended."""

    def __init__(self, rate):
        self.loads = Loads()
        self._rate = rate
        self._ends = []

    def end_until(self, now):
        """Count what was read or has ended by now."""
        while self._ends and self._ends[0][0] <= now:
            _, lifetime, prefill = heappop(self._ends)
            if prefill:
                self.loads.first_token(lifetime, prefill)
            else:
                self.loads.end(lifetime)

    def begin(self, choice, now, run_seconds):
        """Begin a prompt; return the seconds until it has been read."""
        lifetime = choice.upstream.lifetime
        self.loads.begin(lifetime, choice.prefill)
        wait = self.loads.prefill_at(lifetime) / self._rate
        heappush(self._ends, (now + wait, lifetime, choice.prefill))
        heappush(self._ends, (now + wait + run_seconds, lifetime, 0))
        return wait
