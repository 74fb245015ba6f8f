"""The consensus state machine: hard cases by name, random schedules, planted faults that must be found."""

from __future__ import annotations

from millgw.configuration.actions import Accepted
from tests.replica_cluster import Cluster, change

THREE = ("a", "b", "c")


def test_a_leader_is_elected_and_commits() -> None:
    cluster = Cluster(THREE)
    leader = cluster.settle()
    key = cluster.propose(leader, [change("settings", 1)])
    cluster.settle()
    assert cluster.outcomes[key] == Accepted(1, cluster.replica(leader).epoch)
    assert {name: cluster.replica(name).document.entries for name in THREE} == {
        name: {"settings": {"value": 1}} for name in THREE
    }
