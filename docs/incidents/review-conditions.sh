#!/usr/bin/env bash
# Plays cases 3 and 1 of review/ under conditions of an installation or of the machine that could make them fail, and prints the exit
# statuses: 0 held, 1 broken, 2 couldn't run (126: not permitted to run).
# usage: docs/incidents/review-conditions.sh [-c COMMIT] [-o OLDER_COMMIT] [CASE...]   about 90 s a case
set -u
commit=HEAD older=a786488
while getopts c:o: flag; do
  case $flag in c) commit=$OPTARG ;; o) older=$OPTARG ;; *) exit 2 ;; esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || set -- 3 1
repo=$(git rev-parse --show-toplevel) || exit 2
dir=$(mktemp -d)
chmod 755 "$dir"
pids=""
trap 'kill $pids 2>/dev/null; rm -rf "$dir"' EXIT

# build CLONE COMMIT: a fresh clone, built as the deploy file and review/build.sh say.
build() {
  git clone -q "$repo" "$dir/$1" && cd "$dir/$1" && git checkout -q "$2" || exit 2
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" || exit 2
  sh review/build.sh || exit 2
}
build older "$older"
build new "$commit"

# play CASE COMMAND...: runs the case once by a command and prints the exit status, and what was seen if it is not 0.
play() {
  local c=$1
  shift
  (cd "$dir/new" && timeout 120 "$@" "review/$c/run.sh" >"$dir/out" 2>&1)
  local status=$?
  printf ' %s' $status
  [ $status = 0 ] || { head -n 2 "$dir/out"; grep RESULT "$dir/new/review/$c/record.txt"; } >&2
}

# wrap SCRIPT: puts a script in the place of the daemon, which is then target/daemon.
wrap() {
  mv "$dir/new/target/cyclamenstile" "$dir/new/target/daemon"
  cp "$dir/older/target/cyclamenstile" "$dir/new/target/older"
  printf '#!/bin/sh\ncd "%s"\n%s\n' "$dir/new" "$1" >"$dir/new/target/cyclamenstile"
  chmod +x "$dir/new/target/cyclamenstile"
}
unwrap() { mv "$dir/new/target/daemon" "$dir/new/target/cyclamenstile"; }

for c in "$@"; do
  echo "case $c"
  echo "  as built:                                $(play "$c" env)"
  wrap 'case $CYCLAMENSTILE_SETTINGS in *edge-a*) exec target/older "$@";; esac; exec target/daemon "$@"'
  echo "  one instance of the older build:         $(play "$c" env) $(play "$c" env)"
  unwrap
  wrap 'case $CYCLAMENSTILE_SETTINGS in *edge-a*) exec target/daemon "$@";; esac; exec target/older "$@"'
  echo "  one instance of the newer build:         $(play "$c" env) $(play "$c" env)"
  unwrap
  wrap '(me=$$; n=0; while sleep 0.5 && kill -HUP $me 2>/dev/null; do n=$((n+1)); printf "# %s\n" $n >>"$CYCLAMENSTILE_SETTINGS"; done) & exec target/daemon "$@"'
  echo "  settings change and SIGHUP, each 0.5 s:  $(play "$c" env)"
  unwrap
  wrap '(me=$$; while sleep 1; do kill -STOP $me 2>/dev/null || exit; sleep 0.2; kill -CONT $me 2>/dev/null || exit; done) & exec target/daemon "$@"'
  echo "  instances stand still 0.2 s each second: $(play "$c" env)"
  unwrap
  for _ in $(seq 8); do
    timeout 200 taskset -c 0 sh -c 'while :; do :; done' &
    pids="$pids $!"
  done
  echo "  one core shared with 8 busy processes:   $(play "$c" taskset -c 0)"
  kill $pids 2>/dev/null
  wait $pids 2>/dev/null
  pids=""
  echo "  48 descriptors:                          $(play "$c" bash -c 'ulimit -n 48; exec "$0"')"
  echo "  no folder for temporary files:           $(play "$c" env TMPDIR=/nonexistent)"
  mkdir -p "$dir/bin" && mv "$dir/new/target" "$dir/bin/target"
  echo "  target/ not built:                       $(play "$c" env)"
  mv "$dir/bin/target" "$dir/new/target"
  if [ "$(id -u)" = 0 ] && command -v setpriv >/dev/null; then
    echo "  a user who can't write review/:          $(play "$c" setpriv --reuid=65534 --clear-groups)"
  fi
done
