"""Tests that logging never blocks."""

import json
import logging
import os
import threading
import time
import unittest

from reedspar.telemetry.log_queue import start_log_queue
from reedspar.telemetry.logs import JsonFormatter

LINE_COUNT = 5000
QUEUED_LINES_MAX = 100


class LogQueueTest(unittest.TestCase):
    def test_stalled_reader_does_not_block_logging(self) -> None:
        # The log collector hangs and the pipe fills up.  The daemon must not block, and
        # must log the number of dropped lines once the pipe is read again.
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        handler = logging.StreamHandler(stream)
        handler.setFormatter(JsonFormatter())
        queued, listener = start_log_queue(handler, QUEUED_LINES_MAX)
        logger = logging.Logger("test")
        logger.addHandler(queued)
        started_s = time.monotonic()
        for number in range(LINE_COUNT):
            logger.info("line", extra={"number": number, "filler": "x" * 100})
        self.assertLess(time.monotonic() - started_s, 5.0)
        self.assertGreater(queued.dropped_count, 0)
        received: list[bytes] = []
        reader = threading.Thread(target=_read_all, args=(read_end, received))
        reader.start()
        while not queued.queue.empty():
            time.sleep(0.01)
        logger.info("last")
        listener.stop()
        stream.close()
        reader.join()
        lines = [json.loads(line) for line in b"".join(received).splitlines()]
        notices = [line["count"] for line in lines if "dropped" in line["message"]]
        self.assertEqual(sum(notices), queued.dropped_count)
        self.assertIn("last", [line["message"] for line in lines])


def _read_all(read_end: int, received: list[bytes]) -> None:
    while data := os.read(read_end, 65536):
        received.append(data)
    os.close(read_end)


if __name__ == "__main__":
    unittest.main()
