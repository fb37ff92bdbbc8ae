#!/usr/bin/env bash
# Case 2: requesters send bodies as long as allowed. TROUBLE=0 sends short ones.
. "$(dirname "${BASH_SOURCE[0]}")/../standins/run.sh" long-prompts 2
