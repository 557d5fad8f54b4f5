"""Request path: listeners, load balancing, admission control and retries."""
