#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")"
[ -f ../../target/review/Case1.class ] || { echo "run review/build.sh first"; exit 2; }
timeout -k 1 118 java -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 -cp ../../target/review Case1 ../.. .
code=$?
[ $code -le 2 ] || code=2
exit $code
