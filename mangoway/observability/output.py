"""A text stream that never blocks the loop: what its reader doesn't take is dropped."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

MAX_BUFFERED_BYTES: Final = 1 << 20
"""Bytes kept for a reader that is behind: some four thousand lines."""


class BoundedOutput:
    """Writes whole lines to a descriptor without waiting.

    A pipe that nobody reads fills up; lines then wait in a bounded buffer, and beyond
    it they are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        self._dropped = 0
        self.on_dropped: Callable[[int], None] = lambda count: None
        """Told how many lines were dropped once the reader has caught up."""

    def write(self, line: bytes | str) -> int:
        """Take a line."""
        data = line.encode() if isinstance(line, str) else line
        if self._buffered + len(data) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._lines.append(data)
            self._buffered += len(data)
        self._drain()
        return len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._drain()

    def _drain(self) -> None:
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it; logging must not end the process.
                self._lines.clear()
                self._buffered = 0
                return
            self._buffered -= written
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
                return
            self._lines.popleft()
        if self._dropped:
            count, self._dropped = self._dropped, 0
            self.on_dropped(count)
