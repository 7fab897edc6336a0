#!/bin/sh
# Prepares the stand-ins of the cases from 6 on. They need Python alone, so
# that this only checks that they can be read.
set -e
cd "$(dirname "$0")/standins-2"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import platform_standins"
