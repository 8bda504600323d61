#!/bin/sh
# Builds the stand-ins of the cases into target/review.  Run it after the build
# that the deploy file names.
set -e
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
libraries="json-c libcurl libmicrohttpd"
flags="-O1 -g -I. $(pkg-config --cflags $libraries)"
defines='-DJAYSTAIRD="target/node/daemon/jaystaird"
-DDEPLOY_TEMPLATE="deploy/host.json.in"
-DSTANDIN_PLATFORM="" -DSTANDIN_TARGET="" -DJAYSTAIR="" -DTARGET_PORTS=""'

for source in node/mhd_loop.c base/xmalloc.c base/status.c; do
  gcc -std=gnu11 -D_GNU_SOURCE $flags -c "$source" \
    -o "$out/$(basename "$source" .c).o"
done
for source in platform/tests/platform_fleet.cc platform/tests/fake_store.cc \
  platform/tests/fake_server.cc tests/harness/fleet.cc tests/harness/http.cc \
  tests/harness/process.cc tests/harness/relay.cc \
  tests/harness/socket_address.cc review/common/*.cc; do
  g++ -std=c++17 $flags $defines -c "$source" \
    -o "$out/$(basename "$source" .cc).o"
done
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 $flags $defines "$source" "$out"/*.o -o "$out/case$number" \
    $(pkg-config --libs $libraries) -lev -lpthread
done
