#!/usr/bin/env bash
# Merges branches. Conflicts in module files are settled by taking ours and tidying all modules.
set -euo pipefail
cd "$(dirname "$0")/.."
for branch in "$@"; do
	git merge -q --no-edit "$branch" && continue
	for file in $(git diff --name-only --diff-filter=U | grep -E '(go\.mod|go\.sum|go\.work\.sum)$'); do
		git checkout -q --ours "$file"
		git add "$file"
	done
	if [ -n "$(git diff --name-only --diff-filter=U)" ]; then
		echo "conflicts remain:"
		git diff --name-only --diff-filter=U
		exit 1
	fi
	git commit -q --no-edit
done
bash scripts/tidy.sh
