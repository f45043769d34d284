"""Constants of leases."""

from datetime import timedelta

TOPIC_LEASES = "leases"
# A third of the shortest lease that deployments configure, so two renewals in a row may be lost.
RENEW_INTERVAL = timedelta(milliseconds=800)
APPEND_TIMEOUT = timedelta(milliseconds=900)
# Allows for the time between the holder's last check of its lease and the arrival of its message.
HOLDER_SAFETY_MARGIN = timedelta(milliseconds=500)
# Other nodes wait for this long in addition to the lease after they read the holder's last record.
TAKEOVER_MARGIN = timedelta(milliseconds=300)
ACQUIRE_POLL_INTERVAL = timedelta(milliseconds=200)
