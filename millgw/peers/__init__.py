"""Learning from other sidecars: who is there, what they are believed, whose word it is. Pure parts so far.

`swim` keeps the list of peers, `beliefs` weighs what they tell of endpoints, `sealed` proves who said it.
Design: docs/design/peers.md.
"""
