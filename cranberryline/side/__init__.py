"""The side process, which runs next to one upstream and serves the entries' requests to it."""
