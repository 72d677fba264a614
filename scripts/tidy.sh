#!/usr/bin/env bash
# Brings go.mod of each module up to date: a require and a replace for every sibling that it needs, directly or not.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$(sed -n 's/^\t\.\/\(.*\)$/\1/p' go.work)
for module in $modules; do
	for sibling in $modules; do
		[ "$sibling" = "$module" ] && continue
		[ "$sibling" = tools ] && continue
		(cd "$module" && GOWORK=off go mod edit -replace "rosemaryline.dev/$sibling=../$sibling")
	done
	(cd "$module" && GOWORK=off go mod tidy)
	for sibling in $modules; do
		grep -q "rosemaryline.dev/$sibling v0" "$module/go.mod" && continue
		(cd "$module" && GOWORK=off go mod edit -dropreplace "rosemaryline.dev/$sibling")
	done
done
go work sync
