#!/usr/bin/env bash
# Three gateways round one SQLite file, and a backend: who is there, one keyed request through one of them, the same again
# through another after the first has been killed. Usage: examples/fleet.sh build/ivygw
set -eu
program=$(realpath "$1")
here=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
cd "$folder"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait; rm -rf "$folder"' EXIT
mkdir www && echo served > www/quote
python3 -m http.server 9000 --bind 127.0.0.1 -d www > /dev/null 2>&1 &
pids+=($!)
for n in 0 1 2; do
  sed "s/NAME/g$n/; s/PORT/510$n/; s/ADMIN/520$n/; s/NUMBER/$n/" "$here/fleet.json" > "g$n.json"
  "$program" --config "g$n.json" 2> "g$n.log" &
  pids+=($!)
done
call() { # port, words
  exec 3<> "/dev/tcp/127.0.0.1/$1"
  echo "$2" >&3
  cat <&3
}
ask() { # port
  curl -s -i "http://127.0.0.1:$1/quote" -H 'Request-Id: 1' -H 'X-Tier: starter' -H 'Cookie: client=00000000b4d65521' \
    -H 'Request-Timeout-Ms: 3000' -H 'X-Call-Terms: units=1,spread=3,first=0' -H 'Work-Key: my-key'
}
until [ "$(call 5202 members 2>/dev/null | grep -c ' serving ')" = 3 ]; do sleep 0.2; done
call 5202 members
echo "--- through g0"
ask 5100
kill -9 "${pids[1]}"
echo "--- g0 is killed; the same through g1: the recorded answer"
ask 5101
echo "--- the fleet as g1 sees it; Ctrl-C ends it"
until [ "$(call 5201 members | grep -c ' serving ')" = 2 ]; do sleep 0.2; done
call 5201 members
[ -n "${ONCE:-}" ] || wait
