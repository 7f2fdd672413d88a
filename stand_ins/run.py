"""Run a module in a process that is killed when its parent dies.

``python -m stand_ins.run PARENT_PID MODULE [ARGUMENT ...]``
"""

import ctypes
import os
import runpy
import signal
import sys

__all__ = ["die_with_parent", "main"]

PR_SET_PDEATHSIG = 1


def die_with_parent(parent_pid: int) -> None:
    """Have the kernel kill this process when its parent dies.

    A parent killed with SIGKILL can't stop its children, which would keep running
    and hold their ports.  This process requests the death signal only after it has
    started; if its parent process id has changed by then, the parent died earlier.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        raise OSError(ctypes.get_errno(), "prctl failed")
    if os.getppid() != parent_pid:
        os._exit(1)


def main() -> None:
    """Run the module named on the command line."""
    die_with_parent(int(sys.argv[1]))
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
