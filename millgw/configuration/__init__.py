"""Distributed configuration: control instances replicate versions of a document and sidecars apply them."""
