"""Run a Python module in a process that the kernel kills when its parent ends.

`python -m tests.stand_ins.child PARENT_ID MODULE FLAG...` runs the module like
`python -m MODULE FLAG...`.
"""

import ctypes
import os
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1
"""Operation of prctl(2) that sets the signal sent at the end of the parent thread."""


def end_with_parent(parent_id: int) -> None:
    """Let the kernel kill this process when its parent ends, for whatever reason.

    Raises:
        OSError: If the kernel rejects it.
        SystemExit: If the parent has ended already.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, ctypes.c_ulong(signal.SIGKILL)):
        raise OSError(ctypes.get_errno(), "prctl failed")
    # No signal comes if the parent ended before the call.
    if os.getppid() != parent_id:
        sys.exit(f"parent process {parent_id} has ended")


def main() -> None:
    """Run the module that the command line names."""
    _, parent_id, module, *flags = sys.argv
    end_with_parent(int(parent_id))
    sys.argv[1:] = flags
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
