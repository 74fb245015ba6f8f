"""The demo command: a small local fleet that a user can send requests to, with one fault to watch."""

from __future__ import annotations

import asyncio
import signal
import socket

import uvloop

from millgw.platform.config import Address
from millgw.rehearsal.report import PlayedDay, judge
from millgw.rehearsal.scenario import Discovery, Fault, Fleet, Scenario, Traffic
from millgw.rehearsal.scenario_checks import validate
from millgw.rehearsal.testbed import Testbed
from millgw.standins.ledger import AttemptOutcome

SINGLE_RUN_S = 14.0
INTERACTIVE_RUN_S = 3600.0
FAULT_START_S = 5.0
STATUS_INTERVAL_S = 1.0


def scenario(once: bool) -> Scenario:
    """Six endpoints of one tier behind one sidecar; one of them stops answering and comes back cold."""
    return validate(
        Scenario(
            about="one of six endpoints falls silent for five seconds and comes back cold",
            seconds=SINGLE_RUN_S if once else INTERACTIVE_RUN_S,
            fleet=Fleet(
                endpoints=6, tiers=(1.0,), work=(0.6,), calls=(), sidecars=1, cold_s=6.0, idle_s=30.0
            ),
            traffic=Traffic(rate=12.0, shape="steady"),
            discovery=Discovery(notice_s=(0.5, 1.0), silent_s=(2.0, 3.0), add_s=(0.2, 0.5)),
            faults=(Fault(kind="silence", start_s=FAULT_START_S, length_s=5.0, share=0.12),),
        )
    )


def curl_command(address: Address) -> str:
    """A curl command line that can be pasted repeatedly: each run gets a new trace id."""
    return (
        f"curl -i -X POST 'http://{address}/api?k=me' -H 'X-Qos: codigo-acesso' -H 'X-Customer: rede-pampa'"
        " -H 'X-Expires-In-Ms: 2000' -H \"X-Trace-Id: $(date +%s%N)\""
    )


def play(once: bool, port: int) -> PlayedDay:
    """Play the demo day and return it with its audit."""
    return uvloop.run(_play(once, _free_address_from(port)))


def _free_address_from(port: int) -> Address:
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


async def _play(once: bool, address: Address) -> PlayedDay:
    demo_scenario = scenario(once)
    testbed = Testbed(demo_scenario, say=lambda what: print(f"    -- {what}", flush=True), listen=address)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, testbed.stop)
    print("a discovery server, six stand-in servers and one sidecar are starting", flush=True)
    status_task = asyncio.create_task(_print_status(testbed, address, once))
    try:
        ledger, facts = await testbed.play()
    finally:
        status_task.cancel()
    return judge("demo", demo_scenario, ledger, facts)


async def _print_status(testbed: Testbed, address: Address, once: bool) -> None:
    """Print a line each second on the results of calls and attempts."""
    while not testbed.start_time:
        await asyncio.sleep(0.05)
    how_it_ends = f"it ends by itself after {SINGLE_RUN_S:g} s" if once else "Ctrl-C ends it"
    print(f"ready; {how_it_ends}; paste this into another terminal:\n\n{curl_command(address)}\n", flush=True)
    while True:
        since = testbed.clock()
        await asyncio.sleep(STATUS_INTERVAL_S)
        calls = [c for c in testbed.ledger.calls if c.answered is not None and c.answered >= since]
        attempts = [a for a in testbed.ledger.attempts if a.last is not None and a.last >= since]
        served = sum(c.status == 200 for c in calls)
        refused = sum(c.status in (429, 503) for c in calls)
        unanswered = sum(a.told is AttemptOutcome.NOTHING and a.began is None for a in attempts)
        print(
            f"{(testbed.clock() - testbed.start_time) / 1000:5.0f} s: {served} served, {refused} refused,"
            f" {len(calls) - served - refused} failed; {len(attempts)} attempts, {unanswered} unanswered",
            flush=True,
        )
