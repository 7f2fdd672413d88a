"""Tests that frames survive the wire, and that damaged ones are refused."""

import unittest

from reedspar.errors import Failure, Reason
from reedspar.links.messages import Hello, Role, register_messages
from reedspar.messages import (
    Envelope,
    MessageRegistry,
    Sender,
    decode_frame,
    encode_frame,
)

SENDER = Sender("entry-1", incarnation=3, config_version=17, fresh_age_ms=250)
HELLO = Hello("entry-1", Role.ENTRY, "kingston-a", "kingston", "127.0.0.1", 7000)


class CodecTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = MessageRegistry()
        register_messages(self.registry)

    def test_round_trip(self) -> None:
        frame = encode_frame(self.registry, SENDER, HELLO)
        self.assertEqual(decode_frame(self.registry, frame), Envelope(SENDER, HELLO))

    def test_unknown_kind_is_told_apart(self) -> None:
        frame = encode_frame(self.registry, SENDER, HELLO)
        failure = decode_frame(MessageRegistry(), frame)
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.NOT_FOUND)
        self.assertEqual(failure.peer, "entry-1")

    def test_damaged_frame_is_refused(self) -> None:
        # A frame was cut or overwritten on its way.  It must become a failure
        # that closes the link, never a message with made-up fields.
        frame = encode_frame(self.registry, SENDER, HELLO)
        failure = decode_frame(self.registry, frame[:16])
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.CORRUPT)

    def test_type_without_encoding_is_refused_at_registration(self) -> None:
        from dataclasses import dataclass

        @dataclass
        class Heartbeat:
            nonce: dict

        with self.assertRaises(TypeError):
            MessageRegistry().add(Heartbeat, None)


if __name__ == "__main__":
    unittest.main()
