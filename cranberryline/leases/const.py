"""Constants of leases."""

from datetime import timedelta

TOPIC_LEASES = "leases"
# A third of the shortest lease that deployments give: two renewals may be lost in a row.
RENEW_INTERVAL = timedelta(milliseconds=800)
APPEND_TIMEOUT = timedelta(milliseconds=900)
# Time between a holder's last check and the arrival of what it then sends.
HOLDER_MARGIN = timedelta(milliseconds=500)
# Others wait this much longer than the lease after the holder's last sign was seen here.
TAKER_MARGIN = timedelta(milliseconds=300)
LOOK_INTERVAL = timedelta(milliseconds=200)
