"""Tells apart how a peer has ended a connection."""

import asyncio
import errno
import os
import socket

# The error of a connection that was reset after the peer had ended its side in
# order. All that it sent had arrived before.
_RESET_AFTER_END = errno.EPIPE


def find_connection_error(transport: asyncio.BaseTransport) -> OSError | None:
    """Returns the error that ended a connection; None if it ended in order.

    The event loop reports the end of the stream, not the error, if it finds a
    reset together with the last bytes. The socket still has the error. It is
    cleared by this call.

    Args:
      transport: A transport that has reported the end of the stream.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None or tcp_socket.fileno() < 0:
        # It has been closed by this process.
        return None
    number = tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if number in (0, _RESET_AFTER_END):
        return None
    return OSError(number, os.strerror(number))
