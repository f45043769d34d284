"""Stand-ins of the review's scripts: a platform, samplers, clients, and the gateways under test."""
