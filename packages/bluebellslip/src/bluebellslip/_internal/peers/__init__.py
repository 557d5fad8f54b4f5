"""Authenticated transport between nodes: datagrams and unary gRPC calls."""
