"""Proxies requests between callers, nodes and backend servers."""
