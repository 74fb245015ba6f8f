"""New connections of a shared address go to the process that listens last.

Where two sockets listen with SO_REUSEPORT, the kernel deals connections out by hash, and resets what waits at
one that closes. A classic BPF program on the group (Linux socket(7), SO_ATTACH_REUSEPORT_CBPF) picks the
socket instead: always the second. The older one's queue then runs empty and it can close without losing any.
Where there is no second socket (any more), the kernel goes by hash again, so by the one there is.
"""

from __future__ import annotations

import array
import socket
import struct

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
RETURN = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h


def steer(listener: socket.socket, which: int = 1) -> bool:
    """Have new connections come to the group's socket of this number; tells whether the kernel agrees."""
    code = array.array("B", struct.pack("=HBBI", RETURN, 0, 0, which))
    try:
        program = struct.pack("@HP", 1, code.buffer_info()[0])  # struct sock_fprog
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:
        return False
    return True
