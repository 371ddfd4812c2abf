"""Describe the entries of a claim log, as stored."""

from pydantic import BaseModel
from spanfall_core.claims import Batch, Claim


class ClaimDocument(BaseModel):
    """Describe one claim of an entry."""

    key: str
    request_id: str
    at: float


class BatchDocument(BaseModel):
    """Describe an entry of the claim log, as stored."""

    nonce: str
    claims: tuple[ClaimDocument, ...]


def read_batch(sequence: int, raw: bytes) -> Batch:
    """Return the batch that an entry holds."""
    document = BatchDocument.model_validate_json(raw)
    claims = tuple(
        Claim(row.key, row.request_id, row.at) for row in document.claims
    )
    return Batch(sequence, document.nonce, claims)
