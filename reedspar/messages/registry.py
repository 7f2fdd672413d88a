"""Message types by name: a dataclass on one side, a Cap'n Proto struct on the other.

Each package keeps its own schema and dataclasses; a field ``retry_after_s``
of the dataclass is ``retryAfterS`` in the schema.  Supported are str, int,
float, bool, bytes, enums with string values, dataclasses, and tuples of these.
"""

import dataclasses
import re
import typing
from collections.abc import Callable, Sequence
from enum import Enum
from pathlib import Path
from typing import Any

import capnp

__all__ = ["BatchType", "MessageRegistry", "MessageType", "load_schema"]

Converter = Callable[[Any], Any]
SCALARS = (str, int, float, bool, bytes)


def load_schema(package_file: str, name: str) -> Any:
    """Load the schema `name` that lies beside `package_file`."""
    return capnp.load(str(Path(package_file).parent / name))


def to_camel_case(name: str) -> str:
    """Return the schema's spelling of a Python field name."""
    return re.sub(r"_([a-z0-9])", lambda match: match.group(1).upper(), name)


def _identity(value: Any) -> Any:
    return value


def _make_converters(annotation: Any) -> tuple[Converter, Converter]:
    """Return the functions to and from the schema's value."""
    if annotation in SCALARS:
        return _identity, _identity
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return (lambda value: value.value), annotation
    if dataclasses.is_dataclass(annotation):
        fields = _make_fields(annotation)
        return _make_struct_converters(annotation, fields)
    if typing.get_origin(annotation) is tuple:
        item, ellipsis = typing.get_args(annotation)
        if ellipsis is Ellipsis and item in SCALARS:
            return list, tuple
        if ellipsis is Ellipsis:
            encode, decode = _make_converters(item)
            return (
                (lambda values: [encode(value) for value in values]),
                (lambda values: tuple(decode(value) for value in values)),
            )
    raise TypeError(f"{annotation} has no encoding")


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    encode: Converter
    decode: Converter


def _make_fields(message_class: Any) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_class)
    fields = []
    for field in dataclasses.fields(message_class):
        encode, decode = _make_converters(hints[field.name])
        fields.append(_Field(field.name, to_camel_case(field.name), encode, decode))
    return tuple(fields)


def _make_struct_converters(
    message_class: Any, fields: tuple[_Field, ...]
) -> tuple[Converter, Converter]:
    def encode(message: Any) -> dict[str, Any]:
        return {f.wire_name: f.encode(getattr(message, f.name)) for f in fields}

    def decode(reader: Any) -> Any:
        return message_class(*[f.decode(getattr(reader, f.wire_name)) for f in fields])

    return encode, decode


class MessageType:
    """One message type's two sides."""

    def __init__(self, kind: str, message_class: type, struct: Any) -> None:
        self.kind = kind
        self.message_class = message_class
        self._struct = struct
        self._fields = _make_fields(message_class)
        _, self._decode = _make_struct_converters(message_class, self._fields)

    def encode(self, message: Any) -> bytes:
        """Return the message's Cap'n Proto bytes."""
        builder = self._struct.new_message()
        for field in self._fields:
            setattr(
                builder, field.wire_name, field.encode(getattr(message, field.name))
            )
        return builder.to_bytes()

    def decode(self, data: bytes) -> Any:
        """Return the dataclass; raise `capnp.KjException` on damaged bytes."""
        with self._struct.from_bytes(data) as reader:
            return self._decode(reader)


@dataclasses.dataclass(frozen=True, slots=True)
class BatchType:
    """How messages of one class travel together in one frame.

    What is small and frequent costs far more for its frame than for itself.
    """

    batch_class: type
    measure: Callable[[Any], int]
    """Returns about how many bytes a message adds to a batch."""
    join: Callable[[Sequence[Any]], Any]
    split: Callable[[Any], Sequence[Any]]
    """Returns the messages in their order; raises `ValueError` if damaged."""


class MessageRegistry:
    """The message types that a daemon understands."""

    def __init__(self) -> None:
        self._by_kind: dict[str, MessageType] = {}
        self._by_class: dict[type, MessageType] = {}
        self._batches: dict[type, BatchType] = {}
        self._splitters: dict[type, Callable[[Any], Sequence[Any]]] = {}

    def add(self, message_class: type, struct: Any) -> None:
        """Register a dataclass under its own name."""
        kind = message_class.__name__
        if kind in self._by_kind:
            raise ValueError(f"message type {kind} is registered twice")
        message_type = MessageType(kind, message_class, struct)
        self._by_kind[kind] = message_type
        self._by_class[message_class] = message_type

    def add_all(self, schema: Any, *message_classes: type) -> None:
        """Register dataclasses whose structs have the same names in `schema`."""
        for message_class in message_classes:
            self.add(message_class, getattr(schema, message_class.__name__))

    def add_batch(self, message_class: type, batch: BatchType) -> None:
        """Let messages of a class travel together; both are registered before."""
        self._batches[message_class] = batch
        self._splitters[batch.batch_class] = batch.split

    def batch_for(self, message_class: type) -> BatchType | None:
        """Return how messages of a class travel together, or None."""
        return self._batches.get(message_class)

    def split(self, message: Any) -> Sequence[Any]:
        """Return the messages of a batch, or any other message by itself."""
        splitter = self._splitters.get(type(message))
        return (message,) if splitter is None else splitter(message)

    def for_class(self, message_class: type) -> MessageType:
        """Return the type of a dataclass; raise `KeyError` if unregistered."""
        return self._by_class[message_class]

    def for_kind(self, kind: str) -> MessageType | None:
        """Return the type of that name, or None for one of a newer release."""
        return self._by_kind.get(kind)
