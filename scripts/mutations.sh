#!/usr/bin/env bash
# Breaks one invariant at a time in a scratch copy and tells whether a check notices.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
export CARGO_TARGET_DIR="$PWD/target/mutations"
missed=0

# mutate NAME FILE FROM TO: replaces the first FROM in FILE, runs the fuzz tests, restores.
mutate() {
    local name=$1 file="$copy/$2" from=$3 to=$4
    cp "$file" "$file.kept"
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
    if cmp -s "$file" "$file.kept"; then
        echo "$name: the code to break was not found"
        missed=$((missed + 1))
    elif ! (cd "$copy" && cargo test -q -p snipehollow-fuzzing --test decisions --no-run) >"$copy/log" 2>&1; then
        echo "$name: does not build"
        missed=$((missed + 1))
    elif (cd "$copy" && cargo test -q -p snipehollow-fuzzing --test decisions) >"$copy/log" 2>&1; then
        echo "$name: NOT noticed"
        missed=$((missed + 1))
    else
        echo "$name: noticed by $(grep -oE '^    [a-z_]+$' "$copy/log" | sort -u | tr -s ' \n' ' ')"
    fi
    mv "$file.kept" "$file"
    # A file that looks older than the last build would not be built again.
    touch "$file"
}

core=crates/core/src
mutate "rank ignored in the queue" $core/admission/queue.rs \
    "Key { priority: waiting.priority, finish_tag" \
    "Key { priority: Priority { tier: Tier::Regular, rank: Rank(0) }, finish_tag"
mutate "one slot too many" $core/admission/gate.rs \
    "self.running.len() < self.limit() as usize" "self.running.len() <= self.limit() as usize"
mutate "work for a leaving upstream" $core/admission/gate.rs \
    "self.leaving = true;" "self.leaving = false;"
mutate "most important evicted" $core/admission/gate.rs \
    "let evicted = self.queue.pop_last()?;" "let evicted = self.queue.pop_first()?;"
mutate "delegated allowance not taken from the grant" $core/retry/table.rs \
    "grant.remaining.0 -= delegated.0;" "grant.remaining.0 -= 0;"
mutate "retry not counted" $core/retry/allowance.rs \
    "self.remaining.0 -= 1;" "self.remaining.0 -= 0;"
mutate "claimed request run again" $core/ticket/table.rs \
    "RunState::Running => TicketDecision::Join(serial)" "RunState::Running => TicketDecision::Run(serial)"
mutate "ticket of an earlier start accepted" $core/ticket/table.rs \
    "ticket.host != self.host || ticket.start != self.start" "ticket.host != self.host"
mutate "every candidate of a crash convicted" $core/quarantine.rs \
    "if blamed.len() == 1 { CRASHES_TO_QUARANTINE } else { 1 }" "CRASHES_TO_QUARANTINE"
mutate "lower revision taken" crates/config/src/model/state.rs \
    "if delta.head.revision <= in_force {" "if delta.head.revision == in_force {"
mutate "lost answer taken for a failure" crates/store/src/commit.rs \
    "if head.contains(commit.change_id) => return Ok(next)," \
    "if head.contains(commit.change_id) => return Err(conflict(Some(&head))),"
mutate "death not refuted" $core/membership/swim.rs \
    "if ahead || contradicts {" "if ahead && contradicts {"

echo "$missed not noticed"
[ "$missed" -eq 0 ]
