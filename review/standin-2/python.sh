#!/usr/bin/env bash
# Prints the path of a Python interpreter of version 3.11 or later.
for each in /usr/bin/python3 "$(command -v python3)"; do
  if [ -x "$each" ] && "$each" -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
    echo "$each"
    exit 0
  fi
done
echo "Python 3.11 is missing" >&2
exit 1
