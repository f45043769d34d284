"""The gateway process: an entry whose shared state lives in the platform's store."""
