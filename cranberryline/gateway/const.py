"""Constants of the calls between gateways."""

from datetime import timedelta

# A running peer accepts within milliseconds, one that lost power not at all. With the connect
# timeout of other servers, a dead peer used up a caller's whole timeout, and the caller left
# without an answer.
PEER_CONNECT_TIMEOUT = timedelta(milliseconds=200)
