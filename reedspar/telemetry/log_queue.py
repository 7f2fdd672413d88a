"""Log output in a separate thread, so that a slow reader can't block the event loop."""

import logging
import queue
from logging.handlers import QueueHandler, QueueListener

__all__ = ["DroppingQueueHandler", "LogWriter", "start_log_queue"]

QUEUED_LINES_MAX = 2000
"""Maximum number of queued log lines, about a megabyte; further ones are dropped."""


class DroppingQueueHandler(QueueHandler):
    """Queue log records for the writing thread; count and drop those that do not fit.

    If the reader of standard output stops reading, the pipe fills up.  A process that
    wrote to it directly would then block, with all of its requests.
    """

    def __init__(self, records: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(records)
        self._unreported_count = 0
        self.dropped_count = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record or drop it; add a notice once there is room again."""
        if not self._try_put(record):
            self._unreported_count += 1
            self.dropped_count += 1
        elif self._unreported_count and self._try_put(
            _create_drop_notice(self._unreported_count)
        ):
            self._unreported_count = 0

    def _try_put(self, record: logging.LogRecord) -> bool:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            return False
        return True


class LogWriter(QueueListener):
    """Writes queued records in a thread of its own."""

    def finish(self, timeout_s: float) -> None:
        """Write the queued records, as far as their reader takes them in time."""
        thread = self._thread
        if thread is None:
            return
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return
        thread.join(timeout_s)


def _create_drop_notice(count: int) -> logging.LogRecord:
    """Return a log record with the number of dropped lines."""
    text = "log lines dropped, the reader is too slow"
    notice = logging.LogRecord(__name__, logging.WARNING, __file__, 0, text, (), None)
    notice.__dict__["count"] = count
    return notice


def start_log_queue(
    handler: logging.Handler, max_queued_lines: int = QUEUED_LINES_MAX
) -> tuple[DroppingQueueHandler, LogWriter]:
    """Return a handler that never blocks, and the listener that feeds `handler`."""
    records: queue.Queue[logging.LogRecord] = queue.Queue(max_queued_lines)
    listener = LogWriter(records, handler)
    listener.start()
    return DroppingQueueHandler(records), listener
