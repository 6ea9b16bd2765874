#!/usr/bin/env bash
# Checks format and lint; any finding is a failure. Needs a configured build folder.
#   tools/lint.sh [SOURCE...]    lints these sources only; format is checked for all
# A file whose contents and includes are unchanged since its last clean run is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc')
mapfile -t headers < <(git ls-files --cached --others --exclude-standard '*.h')
clang-format --dry-run -Werror "${sources[@]}" "${headers[@]}"

cache=${BERYLBARROW_LINT_CACHE:-$HOME/.cache/berylbarrow-lint}
mkdir -p "$cache"
lint_one() {
  local key
  key=$({ cat .clang-tidy; g++ -std=c++20 -Iinclude -Isrc -Itests -Itools -MM "$1" 2>/dev/null |
    tr -d '\\' | tr ' ' '\n' | grep -E '\.(cc|h)$' | xargs cat; } | sha256sum | cut -d ' ' -f 1)
  [ -e "$2/$key" ] && return 0
  if ! clang-tidy --quiet -p build "$1" 2>/dev/null; then
    clang-tidy --quiet -p build "$1" 2>&1 | tail -n 5
    return 1
  fi
  touch "$2/$key"
}
export -f lint_one
[ $# -gt 0 ] && sources=("$@")
printf '%s\0' "${sources[@]}" |
  xargs -0 -P "${JOBS:-$(nproc)}" -I '{}' bash -c 'lint_one "$1" "$2" || { echo "lint: $1"; exit 255; }' _ '{}' "$cache"
echo "format and lint clean: ${#sources[@]} sources, ${#headers[@]} headers"
