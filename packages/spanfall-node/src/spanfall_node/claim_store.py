"""Append claims to the log of a service in the key-value service.

One write carries all claims that were asked for while the last write was
under way. A batch keeps its sequence number, content and nonce until it is
known whether it was written.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import islice
from uuid import uuid4

import anyio
from spanfall_core.claims import (
    Batch,
    Claim,
    ClaimLog,
    Verdict,
    check_claim,
    expire_claims,
    merge_batch,
)

from spanfall_node.claim_documents import (
    BatchDocument,
    ClaimDocument,
    read_batch,
)
from spanfall_node.context import Context
from spanfall_node.keyvalue import (
    StoreError,
    StoreUncertainError,
)

logger = logging.getLogger(__name__)

#: Claims in one entry; an entry stays far under a megabyte.
BATCH_CLAIMS = 1000
#: Seconds between two tries while the store does not answer.
RETRY_PAUSE = 0.25

Callback = Callable[[Verdict, str], None]


@unique
class Written(StrEnum):
    """Say what became of an append."""

    YES = 'yes'
    NO = 'no'
    MAYBE = 'maybe'
    TAKEN = 'taken'


@dataclass(slots=True)
class Waiting:
    """Hold a claim that was asked for and whom to tell the verdict."""

    claim: Claim
    tell: Callback
    until: float


@dataclass(slots=True)
class Writer:
    """Hold the log of one service and the claims to be written."""

    service: str
    log: ClaimLog = field(default_factory=ClaimLog)
    waiting: list[Waiting] = field(default_factory=list)
    busy: bool = False


class ClaimStore:
    """Grant claims for the services that have their home here."""

    def __init__(self, context: Context) -> None:
        """Start without any log; each is read when first needed."""
        self._context = context
        self._writers: dict[str, Writer] = {}

    def ask(self, service: str, claim: Claim, tell: Callback) -> None:
        """Ask for a claim; ``tell`` gets the verdict and the holder's id."""
        if self._context.is_off('claims'):
            tell(Verdict.GRANTED, claim.request_id)
            return
        writer = self._writers.setdefault(service, Writer(service))
        wait = self._context.cfg.times.claim_wait
        until = self._context.timers.now() + wait
        writer.waiting.append(Waiting(claim, tell, until))
        if not writer.busy:
            writer.busy = True
            self._context.tasks.start_soon(self._drain, writer)

    async def _drain(self, writer: Writer) -> None:
        try:
            while writer.waiting:
                await self._write_some(writer)
        finally:
            writer.busy = False

    async def _write_some(self, writer: Writer) -> None:
        try:
            if not writer.log.loaded:
                await self._load(writer)
        except StoreError as exc:
            await self._pause(writer, exc)
            return
        chosen = self._settle_known(writer)
        if chosen:
            await self._write_batch(writer, chosen)

    def _settle_known(self, writer: Writer) -> list[Waiting]:
        """Tell the verdicts that the log gives; return what to write."""
        log = writer.log
        chosen: list[Waiting] = []
        taken = writer.waiting
        writer.waiting = []
        for row in taken:
            verdict = check_claim(log, row.claim)
            if verdict is Verdict.TAKEN:
                row.tell(verdict, self._holder(log, row.claim.key))
            elif len(chosen) < BATCH_CLAIMS:
                log.pending.append(row.claim)
                chosen.append(row)
            else:
                writer.waiting.append(row)
        return chosen

    def _holder(self, log: ClaimLog, key: str) -> str:
        known = log.claims.get(key)
        if known is not None:
            return known.request_id
        pending = (row.request_id for row in log.pending if row.key == key)
        return next(pending, '')

    async def _write_batch(
        self,
        writer: Writer,
        chosen: list[Waiting],
    ) -> None:
        nonce = uuid4().hex
        state = Written.NO
        until = max(row.until for row in chosen)
        while chosen and self._context.timers.now() < until:
            claims = tuple(row.claim for row in chosen)
            batch = Batch(writer.log.next_sequence, nonce, claims)
            state = await self._try_append(writer, batch)
            if state is Written.YES:
                break
            if state is Written.TAKEN:
                chosen = self._drop_taken(writer, chosen)
            else:
                await anyio.sleep(RETRY_PAUSE)
        self._end_batch(writer, chosen, state)

    async def _try_append(self, writer: Writer, batch: Batch) -> Written:
        try:
            done = await self._append(writer, batch)
        except StoreUncertainError as exc:
            logger.info('A claim write is uncertain: %s', exc)
            return Written.MAYBE
        except StoreError as exc:
            logger.info('Claims wait for the store: %s', exc)
            return Written.NO
        return Written.YES if done else Written.TAKEN

    def _drop_taken(
        self,
        writer: Writer,
        chosen: list[Waiting],
    ) -> list[Waiting]:
        """Tell those whose key another home claimed; return the others."""
        left = []
        for row in chosen:
            holder = writer.log.claims.get(row.claim.key)
            if holder is None:
                left.append(row)
                continue
            writer.log.pending.remove(row.claim)
            row.tell(Verdict.TAKEN, holder.request_id)
        return left

    def _end_batch(
        self,
        writer: Writer,
        chosen: list[Waiting],
        state: Written,
    ) -> None:
        is_written = state is Written.YES
        verdict = Verdict.GRANTED if is_written else Verdict.UNAVAILABLE
        for row in chosen:
            writer.log.pending.remove(row.claim)
            row.tell(verdict, row.claim.request_id)
        if not is_written:
            # What became of the last write is found out by reading the log.
            writer.log.loaded = False

    async def _append(self, writer: Writer, batch: Batch) -> bool:
        """Write one entry; return False if its number was taken.

        After a lost answer the entry is read back and its nonce compared.
        """
        store = self._context.store
        key = self._key(writer.service, batch.sequence)
        document = BatchDocument(
            nonce=batch.nonce,
            claims=tuple(
                ClaimDocument(
                    key=claim.key,
                    request_id=claim.request_id,
                    at=claim.at,
                )
                for claim in batch.claims
            ),
        )
        created = False
        try:
            created = await store.create(
                key,
                document.model_dump_json().encode(),
            )
        except StoreUncertainError:
            logger.info('Reading back claim entry %s', key)
        if created:
            merge_batch(writer.log, batch)
            return True
        return await self._read_back(writer, batch)

    async def _read_back(self, writer: Writer, batch: Batch) -> bool:
        key = self._key(writer.service, batch.sequence)
        entry = await self._get(key)
        if entry is None:
            raise StoreUncertainError('the entry is not there yet')
        found = read_batch(batch.sequence, entry)
        merge_batch(writer.log, found)
        if found.nonce == batch.nonce:
            return True
        await self._load(writer)
        return False

    async def _get(self, key: str) -> bytes | None:
        try:
            entry = await self._context.store.get(key)
        except StoreError as exc:
            raise StoreUncertainError(str(exc)) from exc
        return None if entry is None else entry.value

    async def _load(self, writer: Writer) -> None:
        prefix = f'claims/{writer.service}/'
        listing = await self._context.store.list_prefix(prefix)
        for entry in listing.entries:
            sequence = int(entry.key.removeprefix(prefix))
            merge_batch(writer.log, read_batch(sequence, entry.value))
        writer.log.loaded = True

    def _key(self, service: str, sequence: int) -> str:
        return f'claims/{service}/{sequence:012d}'

    async def _pause(self, writer: Writer, exc: StoreError) -> None:
        logger.info('No claims of %s: %s', writer.service, exc)
        now = self._context.timers.now()
        late = [row for row in writer.waiting if row.until <= now]
        writer.waiting = [row for row in writer.waiting if row.until > now]
        for row in late:
            row.tell(Verdict.UNAVAILABLE, row.claim.request_id)
        await anyio.sleep(RETRY_PAUSE)

    async def clean_all(self, before: float) -> None:
        """Delete the entries whose claims are all older than a time.

        What is not deleted, because the store is away, is met again when
        the log is next read.
        """
        for writer in list(self._writers.values()):
            old = expire_claims(writer.log, before)
            try:
                await self._delete(writer.service, old)
            except StoreError as exc:
                logger.info('Old claims stay for now: %s', exc)

    async def _delete(self, service: str, sequences: list[int]) -> None:
        for sequence in islice(sequences, BATCH_CLAIMS):
            await self._context.store.delete(self._key(service, sequence))
