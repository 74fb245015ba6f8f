"""Routing of requests to services: normalisation of request targets, and the route table. Pure."""
