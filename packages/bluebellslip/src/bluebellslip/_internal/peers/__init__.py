"""Transport between nodes: datagrams and exchanges, both authenticated."""
