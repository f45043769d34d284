"""The gateway process, an entry that keeps its shared state in the platform's store."""
