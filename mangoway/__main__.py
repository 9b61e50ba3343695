"""Run the command line as `python -m mangoway`."""

import signal

# The programs handle the signal to reload once they are imported; until then it would
# end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .cli import main  # noqa: E402

if __name__ == "__main__":
    main()
