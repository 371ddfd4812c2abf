"""Define the part of the OpenAI interface that spanfall reads and writes.

Members that spanfall does not know are passed on to the engine untouched.
"""

from typing import Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

#: Tokens generated where the caller names no limit.
DEFAULT_MAX_TOKENS: Final = 512
#: Characters of a token, for estimates before the engine has counted.
CHARS_PER_TOKEN: Final = 4

CHAT_PATH: Final = '/v1/chat/completions'
TEXT_PATH: Final = '/v1/completions'


class Message(BaseModel):
    """Hold one message of a chat; content may be text or parts."""

    model_config = ConfigDict(extra='allow')

    role: str
    content: str | list[dict[str, Any]] | None = None


class CompletionRequest(BaseModel):
    """Hold what chat and text requests share."""

    model_config = ConfigDict(extra='allow')

    model: str
    stream: bool = False
    max_tokens: int = Field(default=DEFAULT_MAX_TOKENS, ge=1)
    count: Literal[1] = Field(default=1, alias='n')

    def prompt_text(self) -> str:
        """Return the whole prompt as one text, to estimate and to index."""
        raise NotImplementedError


class TextRequest(CompletionRequest):
    """Hold a text completion request."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


class ChatRequest(CompletionRequest):
    """Hold a chat completion request."""

    messages: list[Message] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)

    def prompt_text(self) -> str:
        """Return the messages, each with its role, one after the other."""
        return '\n'.join(
            f'{message.role}: {content_text(message)}'
            for message in self.messages
        )


def content_text(message: Message) -> str:
    """Return the text of a message; parts that are no text are left out."""
    if isinstance(message.content, str):
        return message.content
    parts = message.content or []
    return ''.join(str(part.get('text', '')) for part in parts)


def parse_request(path: str, raw: bytes) -> ChatRequest | TextRequest:
    """Parse a request body; raise pydantic's ValidationError."""
    if path == CHAT_PATH:
        return ChatRequest.model_validate_json(raw)
    return TextRequest.model_validate_json(raw)


def token_limit(req: ChatRequest | TextRequest) -> int:
    """Return how many tokens the answer may have."""
    if isinstance(req, ChatRequest) and req.max_completion_tokens:
        return req.max_completion_tokens
    return req.max_tokens


class EngineOptions(BaseModel):
    """Carry what spanfall asks of an engine, beside the OpenAI members.

    ``resume`` holds the token texts of the answer so far; the engine
    continues after them. ``kv_handle`` names exported state to import.
    """

    request_id: str
    priority: int = 0
    resume: list[str] = []
    kv_handle: str = ''
    kv_source: str = ''
