#!/usr/bin/env bash
# Case 3: gateways are stopped and started in turn. TROUBLE=0 stops none.
. "$(dirname "${BASH_SOURCE[0]}")/../standins/run.sh" late-accept 3
