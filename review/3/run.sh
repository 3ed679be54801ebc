#!/usr/bin/env bash
# Plays the case of this folder. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
exec "$(dirname "$0")/../run_case" "$(cd "$(dirname "$0")" && pwd)" count-omits-jobs
