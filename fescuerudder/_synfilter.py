"""Ends the arrival of new connections at a listening socket without losing accepted ones."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26

# Classic BPF instructions as (code, jump if true, jump if false, operand), see
# Documentation/networking/filter.rst of Linux. A filter on a TCP socket sees the TCP header.
_FLAGS_OFFSET = 13
_SYN_AND_ACK = 0x12
_SYN = 0x02
_DROP_SYN = (
    (0x30, 0, 0, _FLAGS_OFFSET),  # load the byte with the TCP flags
    (0x54, 0, 0, _SYN_AND_ACK),  # keep SYN and ACK
    (0x15, 0, 1, _SYN),  # a SYN alone goes on, all else skips one
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # accept
)


def drop_new_connections(listener: socket.socket) -> None:
    """Makes a listening TCP socket ignore new connections; begun handshakes still complete.

    A caller repeats its SYN after a second, by when the closed listener refuses it. Without
    this, a connection made between the last `accept` and `close` would be reset.

    Raises:
        OSError: the kernel does not offer this.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
