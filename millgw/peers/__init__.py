"""Peer-to-peer exchange between sidecars: membership, gossip about endpoints, message authentication.

Pure: `swim` maintains the membership list, `observations` combines the observations that peers report into
priors, `gossip` decides what is sent and when, `message_auth` authenticates messages, `wire` and
`state_transfer` define the encoding and the connection protocol, `endpoint_evidence` converts from and to the
balancer's events.
With I/O: `node` connects these parts to sockets and timers, `peer_transport` manages connections, `keys`
reads key files, `peer_discovery` finds peers through a coordinator.
Design: docs/design/peers.md.
"""
