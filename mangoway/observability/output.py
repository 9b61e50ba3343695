"""Output that never blocks the event loop; lines are dropped if its reader stalls."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

MAX_BUFFERED_BYTES: Final = 1 << 20
"""Size of the buffer for a slow reader: about four thousand lines."""


class BoundedOutput:
    """Writes whole lines to a file descriptor without blocking.

    If the descriptor is a pipe that is full, because its reader is slow or has stopped,
    lines are kept in a bounded buffer; lines that do not fit into it are dropped and
    counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self.on_dropped: Callable[[int], None] = lambda count: None
        """Called with the number of dropped lines once the reader has caught up."""

    def write(self, line: bytes | str) -> int:
        """Write a line, or buffer or drop it if the descriptor is not writable."""
        data = line.encode() if isinstance(line, str) else line
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
        else:
            self._lines.append(data)
            self._buffered_bytes += len(data)
        self._drain()
        return len(line)

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts now."""
        self._drain()

    def _drain(self) -> None:
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; logging must not end the process.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
                return
            self._lines.popleft()
        if self._dropped_lines:
            count, self._dropped_lines = self._dropped_lines, 0
            self.on_dropped(count)
