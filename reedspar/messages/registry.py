"""A registry that maps message dataclasses to Cap'n Proto structs of the same name.

Each package has its own schema and dataclasses.  The field ``retry_after_s`` of a
dataclass is ``retryAfterS`` in the schema.  Supported field types are str, int, float,
bool, bytes, enums with string values, dataclasses, and tuples of these.
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

Reader = Callable[[Any], Any]
"""Returns the value of a field, given its encoded form."""
Writer = Callable[[Any, str, Any], None]
"""Sets the field of a builder, given by name, to the encoded form of a value."""
SCALAR_TYPES = (str, int, float, bool, bytes)


def load_schema(package_file: str, name: str) -> Any:
    """Load the schema `name` from the directory of `package_file`."""
    return capnp.load(str(Path(package_file).parent / name))


def to_camel_case(name: str) -> str:
    """Return the schema's spelling of a Python field name."""
    return re.sub(r"_([a-z0-9])", lambda match: match.group(1).upper(), name)


def _identity(value: Any) -> Any:
    return value


def _make_accessors(annotation: Any) -> tuple[Writer, Reader]:
    """Return the functions that write and read fields of a type."""
    if annotation in SCALAR_TYPES:
        return setattr, _identity
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _write_enum, annotation
    if dataclasses.is_dataclass(annotation):
        fields = _make_fields(annotation)
        return _make_struct_writer(fields), _make_struct_reader(annotation, fields)
    if typing.get_origin(annotation) is tuple:
        item, ellipsis = typing.get_args(annotation)
        if ellipsis is Ellipsis:
            return _make_list_accessors(item)
    raise TypeError(f"{annotation} has no encoding")


def _make_list_accessors(item: Any) -> tuple[Writer, Reader]:
    if item in SCALAR_TYPES:
        return _write_scalars, tuple
    _, read = _make_accessors(item)

    def read_all(values: Any) -> tuple[Any, ...]:
        return tuple([read(value) for value in values])

    if dataclasses.is_dataclass(item):
        return _make_struct_list_writer(_make_fields(item)), read_all
    if issubclass(item, Enum):
        return _write_enums, read_all
    raise TypeError(f"tuples of {item} have no encoding")


def _write_enum(builder: Any, name: str, value: Enum) -> None:
    setattr(builder, name, value.value)


def _write_enums(builder: Any, name: str, values: tuple[Enum, ...]) -> None:
    setattr(builder, name, [value.value for value in values])


def _write_scalars(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    setattr(builder, name, list(values))


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    write: Writer
    read: Reader


def _make_fields(message_class: Any) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_class)
    fields = []
    for field in dataclasses.fields(message_class):
        write, read = _make_accessors(hints[field.name])
        fields.append(_Field(field.name, to_camel_case(field.name), write, read))
    return tuple(fields)


def _write_fields(builder: Any, fields: tuple[_Field, ...], message: Any) -> None:
    for field in fields:
        field.write(builder, field.wire_name, getattr(message, field.name))


def _make_struct_writer(fields: tuple[_Field, ...]) -> Writer:
    def write(builder: Any, name: str, value: Any) -> None:
        _write_fields(builder.init(name), fields, value)

    return write


def _make_struct_list_writer(fields: tuple[_Field, ...]) -> Writer:
    """Return a writer that fills the list in place.

    Passing a list of dicts to the builder would cost eight times as much.
    """

    def write(builder: Any, name: str, values: tuple[Any, ...]) -> None:
        items = builder.init(name, len(values))
        for i, value in enumerate(values):
            _write_fields(items[i], fields, value)

    return write


def _make_struct_reader(message_class: Any, fields: tuple[_Field, ...]) -> Reader:
    def read(reader: Any) -> Any:
        return message_class(*[f.read(getattr(reader, f.wire_name)) for f in fields])

    return read


class MessageType:
    """Encoder and decoder of one message type."""

    def __init__(self, kind: str, message_class: type, struct: Any) -> None:
        self.kind = kind
        self.message_class = message_class
        self._struct = struct
        self._fields = _make_fields(message_class)
        self._decode = _make_struct_reader(message_class, self._fields)

    def encode(self, message: Any) -> bytes:
        """Return the message encoded in Cap'n Proto."""
        builder = self._struct.new_message()
        _write_fields(builder, self._fields, message)
        return builder.to_bytes()

    def decode(self, data: bytes) -> Any:
        """Return the message; raise `capnp.KjException` if `data` is damaged."""
        with self._struct.from_bytes(data) as reader:
            return self._decode(reader)


@dataclasses.dataclass(frozen=True, slots=True)
class BatchType:
    """How several messages of one class are combined into one frame.

    For small, frequent messages the cost of a frame far exceeds that of its content.
    """

    batch_class: type
    measure: Callable[[Any], int]
    """Returns the approximate number of bytes that a message adds to a batch."""
    join: Callable[[Sequence[Any]], Any]
    split: Callable[[Any], Sequence[Any]]
    """Returns the messages in order; raises `ValueError` if the batch is damaged."""


class MessageRegistry:
    """The message types that a daemon understands."""

    def __init__(self) -> None:
        self._by_kind: dict[str, MessageType] = {}
        self._by_class: dict[type, MessageType] = {}
        self._batches: dict[type, BatchType] = {}
        self._splitters: dict[type, Callable[[Any], Sequence[Any]]] = {}

    def add(self, message_class: type, struct: Any) -> None:
        """Register a dataclass under its class name."""
        kind = message_class.__name__
        if kind in self._by_kind:
            raise ValueError(f"message type {kind} is registered twice")
        message_type = MessageType(kind, message_class, struct)
        self._by_kind[kind] = message_type
        self._by_class[message_class] = message_type

    def add_all(self, schema: Any, *message_classes: type) -> None:
        """Register dataclasses with the structs of the same names in `schema`."""
        for message_class in message_classes:
            self.add(message_class, getattr(schema, message_class.__name__))

    def add_batch(self, message_class: type, batch: BatchType) -> None:
        """Allow batches of a message class; both classes must be registered already."""
        self._batches[message_class] = batch
        self._splitters[batch.batch_class] = batch.split

    def batch_for(self, message_class: type) -> BatchType | None:
        """Return how messages of a class are batched, or None if they are not."""
        return self._batches.get(message_class)

    def split(self, message: Any) -> Sequence[Any]:
        """Return the messages of a batch, or a single message as a sequence of one."""
        splitter = self._splitters.get(type(message))
        return (message,) if splitter is None else splitter(message)

    def for_class(self, message_class: type) -> MessageType:
        """Return the message type of a dataclass; raise `KeyError` if unregistered."""
        return self._by_class[message_class]

    def for_kind(self, kind: str) -> MessageType | None:
        """Return the message type with this name, or None if it is unknown."""
        return self._by_kind.get(kind)
