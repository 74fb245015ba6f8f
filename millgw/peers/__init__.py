"""Learning from other sidecars: who is there, what they are believed, whose word it is.

Pure: `swim` keeps the list of peers, `beliefs` weighs what they tell of endpoints, `gossip` says what is
told and when, `sealed` proves who said it, `wire` and `state_transfer` word it, `endpoint_evidence`
translates for the module. With I/O: `node` puts them together, `peer_transport` holds connections, `keys`
reads files, `peer_discovery` asks a coordinator.
Design: docs/design/peers.md.
"""
