"""Directs new connections of a shared address to the newest listener, by SO_REUSEPORT and classic BPF.

Where two sockets listen with SO_REUSEPORT, the kernel distributes connections by hash, and resets those that
wait in the backlog of one that closes. A classic BPF program on the group (Linux socket(7),
SO_ATTACH_REUSEPORT_CBPF) selects the socket instead: always the second. The backlog of the older socket then
drains, and it can be closed without resetting a connection. Once the group has no second socket, the kernel
falls back to the hash, that is, to the only socket left.
"""

from __future__ import annotations

import array
import socket
import struct

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h


def select_listener(listener: socket.socket, index: int = 1) -> bool:
    """Send new connections to the socket with this index in the group; False if the kernel refuses."""
    code = array.array("B", struct.pack("=HBBI", BPF_RETURN_CONSTANT, 0, 0, index))
    try:
        program = struct.pack("@HP", 1, code.buffer_info()[0])  # struct sock_fprog
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:
        return False
    return True
