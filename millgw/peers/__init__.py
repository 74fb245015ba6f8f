"""Learning from other sidecars: who is there, what they are believed, whose word it is.

Pure: `swim` keeps the list of peers, `beliefs` weighs what they tell of endpoints, `gossip` says what is
told and when, `sealed` proves who said it, `wire` and `dialog` word it, `seen` translates for the module.
With I/O: `node` puts them together, `links` holds connections, `keys` reads files, `finding` asks a
coordinator.
Design: docs/design/peers.md.
"""
