#!/bin/sh
# A gateway reads its settings again on SIGHUP, whose default ends the process. An ignored signal
# stays ignored until the program, which takes a second to load, installs its handler.
[ "$1" != gateway ] || trap '' HUP
exec python3.11 "$0" "$@"
