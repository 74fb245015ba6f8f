"""The demo command: a small local fleet that a user can send requests to, with one fault to watch."""

from __future__ import annotations

import asyncio
import signal
import socket

import uvloop

from millgw.platform.config import Address
from millgw.rehearsal.report import Day, judge
from millgw.rehearsal.scenario import Discovery, Fault, Fleet, Scenario, Traffic
from millgw.rehearsal.scenario_checks import check
from millgw.rehearsal.testbed import Testbed
from millgw.standins.ledger import Told

ONCE_S = 14.0
LONG_S = 3600.0
STRIKES_AT = 5.0
SAYS_EVERY = 1.0


def scenario(once: bool) -> Scenario:
    """Six endpoints of one tier behind one sidecar; one of them stops answering and comes back cold."""
    return check(
        Scenario(
            about="one of six endpoints falls silent for five seconds and comes back cold",
            seconds=ONCE_S if once else LONG_S,
            fleet=Fleet(
                endpoints=6, tiers=(1.0,), work=(0.6,), calls=(), sidecars=1, cold_s=6.0, idle_s=30.0
            ),
            traffic=Traffic(rate=12.0, shape="steady"),
            discovery=Discovery(notice_s=(0.5, 1.0), silent_s=(2.0, 3.0), add_s=(0.2, 0.5)),
            faults=(Fault(kind="silence", start_s=STRIKES_AT, length_s=5.0, share=0.12),),
        )
    )


def curl(address: Address) -> str:
    """A curl command line that can be pasted repeatedly: each run gets a new trace id."""
    return (
        f"curl -i -X POST 'http://{address}/api?k=me' -H 'X-Qos: codigo-acesso' -H 'X-Customer: rede-pampa'"
        " -H 'X-Expires-In-Ms: 2000' -H \"X-Trace-Id: $(date +%s%N)\""
    )


def play(once: bool, port: int) -> Day:
    """Play the demo day and return it with its audit."""
    return uvloop.run(_show(once, _free(port)))


def _free(port: int) -> Address:
    """The requested port or the next free one of 20; raises OSError if there is none."""
    for number in range(port, min(port + 20, 65536)):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", number))
            except OSError:
                continue
            return Address("127.0.0.1", number)
    raise OSError(f"--port {port}: neither it nor the next ones are free on 127.0.0.1")


async def _show(once: bool, address: Address) -> Day:
    made = scenario(once)
    testbed = Testbed(made, say=lambda what: print(f"    -- {what}", flush=True), listen=address)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, testbed.stop)
    print("a discovery server, six stand-in servers and one sidecar are starting", flush=True)
    telling = asyncio.create_task(_tell(testbed, address, once))
    try:
        ledger, facts = await testbed.play()
    finally:
        telling.cancel()
    return judge("demo", made, ledger, facts)


async def _tell(testbed: Testbed, address: Address, once: bool) -> None:
    """Print a line each second on the results of calls and attempts."""
    while not testbed.zero:
        await asyncio.sleep(0.05)
    end = f"it ends by itself after {ONCE_S:g} s" if once else "Ctrl-C ends it"
    print(f"ready; {end}; paste this into another terminal:\n\n{curl(address)}\n", flush=True)
    while True:
        since = testbed.clock()
        await asyncio.sleep(SAYS_EVERY)
        calls = [c for c in testbed.ledger.calls if c.answered is not None and c.answered >= since]
        attempts = [a for a in testbed.ledger.attempts if a.last is not None and a.last >= since]
        served = sum(c.status == 200 for c in calls)
        refused = sum(c.status in (429, 503) for c in calls)
        silent = sum(a.told is Told.NOTHING and a.began is None for a in attempts)
        print(
            f"{(testbed.clock() - testbed.zero) / 1000:5.0f} s: {served} served, {refused} refused,"
            f" {len(calls) - served - refused} failed; {len(attempts)} attempts, {silent} at a silent server",
            flush=True,
        )
