"""The path of calls: listeners, choice of server, admission, retries."""
