#!/usr/bin/env bash
# Mutation test: breaks one invariant of the code at a time in a scratch copy of HEAD and checks
# that a test fails: a fuzz test, or another one that is named. Exits with 1 if a mutation goes undetected or can no longer be applied.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
export CARGO_TARGET_DIR="$PWD/target/mutations"
missed=0

# mutate NAME FILE FROM TO [PACKAGE TEST]: replaces the first FROM in FILE by TO, runs the fuzz tests
# or the given test file (lib: the tests inside the package), restores FILE.
mutate() {
    local name=$1 file="$copy/$2" from=$3 to=$4 package=${5:-snipehollow-fuzzing} tests=${6:-decisions}
    local select=(--test "$tests")
    [ "$tests" = lib ] && select=(--lib)
    cp "$file" "$file.kept"
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
    if cmp -s "$file" "$file.kept"; then
        echo "$name: the code to mutate was not found"
        missed=$((missed + 1))
    elif ! (cd "$copy" && cargo test -q -p "$package" "${select[@]}" --no-run) >"$copy/log" 2>&1; then
        echo "$name: does not build"
        missed=$((missed + 1))
    elif (cd "$copy" && cargo test -q -p "$package" "${select[@]}") >"$copy/log" 2>&1; then
        echo "$name: NOT detected"
        missed=$((missed + 1))
    else
        echo "$name: detected by $(grep -oE '^    [a-z_:]+$' "$copy/log" | sort -u | tr -s ' \n' ' ')"
    fi
    mv "$file.kept" "$file"
    # The restored file has its old modification time. Without a newer one cargo would not rebuild
    # it.
    touch "$file"
}

core=crates/core/src
mutate "rank ignored in the queue" $core/admission/queue.rs \
    "Key { priority: waiting.priority, finish_tag" \
    "Key { priority: Priority { tier: Tier::Regular, rank: Rank(0) }, finish_tag"
mutate "one slot too many" $core/admission/gate.rs \
    "self.running.len() < self.limit() as usize" "self.running.len() <= self.limit() as usize"
mutate "requests admitted for a leaving upstream" $core/admission/gate.rs \
    "self.leaving = true;" "self.leaving = false;"
mutate "most urgent request evicted" $core/admission/gate.rs \
    "let evicted = self.queue.pop_last()?;" "let evicted = self.queue.pop_first()?;"
mutate "delegated allowance not deducted from the grant" $core/retry/table.rs \
    "grant.remaining.0 -= delegated.0;" "grant.remaining.0 -= 0;"
mutate "retry not deducted from the allowance" $core/retry/allowance.rs \
    "self.remaining.0 -= 1;" "self.remaining.0 -= 0;"
mutate "request in progress run again" $core/ticket/table.rs \
    "RunState::Running => TicketDecision::Join(serial)" "RunState::Running => TicketDecision::Run(serial)"
mutate "ticket of an earlier process start accepted" $core/ticket/table.rs \
    "ticket.host != self.host || ticket.start != self.start" "ticket.host != self.host"
mutate "every suspect of a crash fully blamed" $core/quarantine.rs \
    "if is_conclusive { CRASHES_TO_QUARANTINE } else { 1 }" "CRASHES_TO_QUARANTINE"
mutate "lower revision accepted" crates/config/src/model/state.rs \
    "if delta.head.revision <= in_force {" "if delta.head.revision == in_force {"
mutate "lost response treated as a failure" crates/store/src/commit.rs \
    "if head.contains(commit.change_id) => return Ok(next)," \
    "if head.contains(commit.change_id) => return Err(conflict(Some(&head))),"
mutate "death of a live host not refuted" $core/membership/swim.rs \
    "if ahead || contradicts {" "if ahead && contradicts {"
mutate "rate limit of the upstream ignored" $core/admission/gate.rs \
    "rate_allows && self.running.len()" "self.running.len()" snipehollow-core rate_limit
mutate "rate limit ended by a late response" $core/admission/upstream_rate_limit.rs \
    "named.is_none() && dispatched <= self.named_at" "named.is_none() && dispatched < Timestamp::ZERO" \
    snipehollow-core rate_limit
mutate "status of an earlier process applied" $core/admission/upstream_status.rs \
    "start_matches && self.instance" "self.instance" snipehollow-core upstream_status

mutate "response of another request believed" platform/src/protocol.rs \
    "if self.response_id(map) != Some(request.id.as_str()) {" "if false {" \
    snipehollow-platform protocol
mutate "connection carries the same request twice" crates/node/src/traffic/pool.rs \
    "&& id.is_none_or(|id| !entry.connection.has_carried(id))" "" snipehollow-platform nodes
mutate "refused request comes back to its connection" crates/node/src/traffic/pool.rs \
    " || self.retryable_ids.contains(id)" "" snipehollow-platform nodes
mutate "announcement believed because the store can be read" crates/node/src/host/announcements.rs \
    "true => EarlierDepartures::Incomplete" "true => EarlierDepartures::Unread" snipehollow-node lib
mutate "departure that was taken back holds" crates/node/src/host/announcements.rs \
    "upstream.said_leaving = departed_finally;" "upstream.said_leaving = departed;" snipehollow-node lib
mutate "quarantine entries beyond the first ones left out" $core/quarantine.rs \
    "let has_more = changed.len() > max;" "let has_more = false;" snipehollow-node lib
mutate "position in the quarantine of another process believed" $core/quarantine.rs \
    "known.filter(|known| known.source == self.source)" "known" snipehollow-core quarantine
mutate "try sent after its deadline" crates/node/src/host/tries.rs \
    "if now >= call.deadline {" "if false {" snipehollow-node lib
mutate "try sent to an upstream that left" crates/node/src/host/tries.rs \
    "if let Some(reason) = self.unavailability(now, &call.service) {
            return Err(reason);" "if let Some(reason) = None {
            return Err(reason);" snipehollow-node lib
mutate "memory for bodies not limited" crates/node/src/traffic/held_bytes.rs \
    "(total <= limit || held == *bytes).then_some(total)" "(total < usize::MAX || limit == 0).then_some(total)" \
    snipehollow-platform nodes
mutate "response not charged before it arrives" $core/routing/link.rs \
    "self.balance -= request_bytes as f64 + expected_response_bytes;" \
    "self.balance -= request_bytes as f64;" snipehollow-core link
mutate "implausible incarnation believed" $core/membership/swim.rs \
    "if !gossiped.incarnation.is_plausible() {" "if false {" snipehollow-core lenient
mutate "unreadable entry hides the message" $core/membership/gossip.rs \
    '#[serde(deserialize_with = "crate::lenient::readable_entries")]' ""
mutate "unreadable entry hides the configuration" platform/src/config.rs \
    "entries.record_unreadable(cause);" "return Err(cause);" snipehollow-platform spoiled_input

echo "$missed not detected"
[ "$missed" -eq 0 ]
