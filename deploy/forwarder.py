"""Starts the forwarding process; see `egrethook.platform.daemon`.

The optional argument is the address for callers' packets. It is bound before the
libraries are imported, so that packets of this time are queued and not lost.
"""

# These built-in modules load faster than `signal` and `socket`.
import _signal
import _socket
import gc
import sys

RECEIVE_BUFFER_BYTES = 2**20

# SIGHUP reloads the settings, which are read at the start anyway. Its default action
# would end a process that is still loading modules.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


def bind_packet_socket():
    """Return the file descriptor of the bound socket, or None.

    If it fails, the daemon binds the address again and reports the error.
    """
    if len(sys.argv) < 2:
        return None
    sock = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    host, _, port = sys.argv[1].rpartition(":")
    try:
        sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, int(port)))
    except (OSError, ValueError, OverflowError):
        sock.close()
        return None
    return sock.detach()


packet_socket = bind_packet_socket()

# Garbage collection would take a tenth of the import time and free nothing; `main`
# enables it again.
gc.disable()

from egrethook.platform.daemon import main  # noqa: E402

sys.exit(main(packet_socket))
