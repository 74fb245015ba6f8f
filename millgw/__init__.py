"""millgw: load balancing decisions for calls between services, without I/O."""

from millgw import compiled

compiled.install()  # before the first import of a module that may be compiled

from millgw.decide import Balancer  # noqa: E402
from millgw.interface import (  # noqa: E402
    Action,
    AttemptEnded,
    Condition,
    Endpoint,
    EndpointList,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestAborted,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Scope,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerFired,
)

VERSION = "0.1.0"

__all__ = [
    "VERSION",
    "Action",
    "AttemptEnded",
    "Balancer",
    "Condition",
    "Endpoint",
    "EndpointList",
    "Event",
    "Fail",
    "ListKind",
    "Outcome",
    "Refuse",
    "Repeat",
    "RequestAborted",
    "RequestArrived",
    "RequestClass",
    "ResponseStarted",
    "Scope",
    "Send",
    "SetTimer",
    "Settings",
    "Subscribe",
    "Tenant",
    "TimerFired",
]
