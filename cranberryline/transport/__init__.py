"""Messages and peer connections between the system's own processes."""
