"""Policy for which kept connection may carry a request. No I/O, no clock.

Some endpoints send a second answer some milliseconds after the first. If it crosses the next request on the
connection, it is taken for the answer to that request, and every answer behind it for the next one's. A
request that may not run twice would then be held not to have run by another request's answer.

A connection is *in step* if no request was written on it while a second answer could still be on its way.
Unsafe requests are written only on connections that are in step, and where nothing can be on its way: on one
that has not answered yet, or that has been silent for `SILENT_TIME` since it did. Keyed requests use others
as well, until the pool's endpoints are seen to send more than their answers: a copy costs one of them its own
answer, and a connection for each costs the endpoints many handshakes.

Within the sidecar's zone holding back the last byte shows the same sooner (`millgw.endpoints.hold_policy`),
because the hold time is longer than a round trip there. Elsewhere the round trip is not known: what the
kernel measures ends at the first relay.

Times are in milliseconds.
"""

from __future__ import annotations

from typing import Final

from millgw.interface import Repeat

# ms without bytes after an answer, after which none follow it: a sender that waits for an acknowledgement
# gets it within 200 ms (Linux' TCP_DELACK_MAX), and the rest is for the round trip.
SILENT_TIME: Final = 250.0


def stays_in_step(repeat: Repeat, near: bool, silent: float) -> bool:
    """Whether a connection is still in step after a request is written `silent` ms after its last answer.

    `near` tells whether the endpoint is in the sidecar's zone.
    """
    return silent >= SILENT_TIME or (near and repeat is not Repeat.SAFE)


def may_carry(
    repeat: Repeat, near: bool, in_step: bool, answered: bool, silent: float, strays_expected: bool
) -> bool:
    """Whether a kept connection may carry a request; `answered` tells whether it has had an answer.

    `strays_expected` tells whether more bytes than their answers are expected of the pool's endpoints.
    """
    if repeat is Repeat.SAFE or not answered or (repeat is Repeat.KEYED and not strays_expected):
        return True
    return in_step and (near or silent >= SILENT_TIME)
