#!/usr/bin/env bash
# Mutation tests: each one disables a mechanism in a copy of the sources, and the named test must fail.
#
#   scripts/mutants.sh [TEXT]   runs all of them, or those whose crate's name contains TEXT
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | grep -v '^docs/' | tar -cf - -T - | tar -xf - -C "$copy"
export CARGO_TARGET_DIR=$PWD/target/mutants
missed=0
only=${1:-}

# mutant LABEL FILE SED CRATE TEST: applies the sed script, runs the test, and restores the file.
mutant() {
  local name=$1 file=$copy/$2 script=$3 crate=$4 test=$5 result
  case $crate in *$only*) ;; *) return ;; esac
  cp "$file" "$copy/original"
  sed -i -E "$script" "$file"
  if cmp -s "$file" "$copy/original"; then
    echo "$name: the mutation changed nothing"
    missed=1
    return
  fi
  if (cd "$copy" && cargo test --quiet --package "$crate" --test "$test" >"$copy/log" 2>&1); then result=MISSED; missed=1; else result=caught; fi
  if grep -q '^error\(\[\|: could not compile\)' "$copy/log"; then result="DOES NOT COMPILE"; missed=1; fi
  printf '%-78s %-28s %s\n' "$name" "$crate/$test" "$result"
  cp "$copy/original" "$file"
}

mutant "a new home ignores the reported load" crates/stairvale-permit/src/account.rs \
  's/self\.reported\.map\(\|reported\| reported\.max\(registered\)\)/Some(registered)/' stairvale-permit spec
mutant "a home that was paused keeps its accounts" crates/stairvale-permit/src/account.rs \
  's/self\.held\.clear\(\);//; s/self\.reported = None;//' stairvale-permit home
mutant "a late grant is not returned" crates/stairvale-permit/src/entry.rs \
  's/vec!\[Effect::Release \{ to: from\.clone\(\), upstream: upstream\.clone\(\), attempt \}\]/Vec::new()/' stairvale-permit entry
mutant "the bound isn't enforced" crates/stairvale-permit/src/decide.rs \
  's/account\.outstanding\(now\)\? < limit\)/account.outstanding(now)? < limit + 1)/' stairvale-permit home
mutant "a claim is answered before it is written" crates/stairvale-claim/src/shard.rs \
  's/let mut effects = self\.answer_recorded\(&record\);/let mut effects: Vec<_> = std::mem::take(\&mut self.pending).iter().map(|w| w.answer(ClaimVerdict::Yours { fence: 0 })).collect();/' stairvale-claim shard
mutant "a duplicate answer releases a running claim" crates/stairvale-control/src/handlers/claims.rs \
  's/let given_up = self\.given_up\.contains_key\(&attempt\);/let given_up = true;/' stairvale-control fleet
mutant "an owner releases a claim that it never wrote" crates/stairvale-claim/src/shard.rs \
  's/if request\.write_sent \&\&/if true \&\&/' stairvale-claim shard
mutant "a lower generation is accepted" crates/stairvale-control/src/generation.rs \
  's/if offered < in_force \{/if false {/; s/if offered == in_force \{/if offered == in_force || offered.0 == 0 {/; s/if to <= from \{/if false {/' stairvale-control spec
mutant "a submission whose answer was lost isn't recognised as accepted" crates/stairvale-control/src/apply.rs \
  's/if manifest\.find\(&self\.submission\.id\)\.is_some\(\) \{/if false {/' stairvale-control spec
mutant "an older status report of an upstream replaces a newer one" crates/stairvale-membership/src/upstreams.rs \
  's/report\.order\(\) <= old\.order\(\)/false/' stairvale-membership membership
mutant "an account stays open for an engine that takes no work" crates/stairvale-control/src/handlers/upstreams.rs \
  's/let usable = self\.fleet\.takes_work\(upstream\);/let usable = true;/' stairvale-control fleet
mutant "status reports aren't exchanged after a partition" crates/stairvale-control/src/handlers/members.rs \
  's/if !statuses\.is_empty\(\) \{/if false {/' stairvale-control fleet
mutant "customers with queued requests don't take turns" crates/stairvale-admission/src/queue.rs \
  's/let start = self\.last_tags\.get\(customer\)\.copied\(\)\.unwrap_or\(0\)\.max\(self\.virtual_time\);/let start = 0;/' stairvale-admission admission
mutant "an answer is sent before its owner has recorded it" crates/stairvale-control/src/handlers/claims.rs \
  's/self\.unsettled\.push\(settled\);/self.outputs.push(Output::OutcomeRecorded { attempt }); self.unsettled.push(settled);/' stairvale-control fleet
mutant "the holder of a zone's orders gets no mismatches that others found" crates/stairvale-control/src/handlers/engine_orders.rs \
  's/if let Some\(holder\) = holder \{/if let Some(holder) = holder.filter(|holder| holder == \&self.me) {/' stairvale-control fleet
mutant "a customer's share expires after a second" crates/stairvale-admission/src/limit.rs \
  's/SHARE_TTL: Duration = Duration::from_secs\(60\)/SHARE_TTL: Duration = Duration::from_secs(1)/' stairvale-admission limit
mutant "the first reports to a new owner raise the share of a customer over its limit" crates/stairvale-admission/src/limit.rs \
  's/\(is_reliable \&\& fraction/(fraction/' stairvale-admission limit
mutant "a burst is detected by the number of slots alone" crates/stairvale-permit/src/decide.rs \
  's/saturating_mul\(BURST_BOUND_MULTIPLE\)\.min\(rules\.slots\)/max(rules.slots)/' stairvale-permit home
mutant "reserved slots stay unused while only customers over their share wait" crates/stairvale-permit/src/decide.rs \
  's/account\.queue\.is_empty\(\) \|\| .*$/account.queue.is_empty()/' stairvale-permit home
mutant "a submission relies on a chunk that may be deleted" crates/stairvale-control/src/apply.rs \
  's/Answer::Conflict\) if self\.is_in_force\(index\) =>/Answer::Conflict) if index < usize::MAX =>/' stairvale-control sweep
mutant "a chunk that is in force again is deleted" crates/stairvale-control/src/sweep.rs \
  's/self\.batch\.retain\(\|found\| !manifest\.chunks\.contains\(&found\.chunk\)\);/drop(manifest.chunks.len());/' stairvale-control sweep
mutant "a redirect to an engine that failed the request is followed" crates/stairvale-permit/src/entry.rs \
  's/if !is_candidate \|\| !directory/if !directory/' stairvale-permit entry
mutant "a router that only stands in for a home inspects engines" crates/stairvale-serve/src/core/home.rs \
  's/ \|\| self\.assigned_home\(service\) != Some\(&self\.me\)//' stairvale-serve core
mutant "a router that reads the store only for itself sends changes to its zone" crates/stairvale-serve/src/core/spread.rs \
  's/if !self\.is_watcher\(\)/if before == u64::MAX/' stairvale-serve core
mutant "watchers are selected among weak routers, too" crates/stairvale-serve/src/core/roles.rs \
  's/strength \* 2 >= strongest/strength * 2 >= strongest || self.leaving != self.table.has_customers()/' stairvale-serve core
mutant "a watcher that just took over is excluded" crates/stairvale-serve/src/core/freshness.rs \
  's/now\.since\(\*since\) >= max_age/now >= *since/' stairvale-serve core
mutant "a zone's watcher lets its copy grow as old as the others do" crates/stairvale-serve/src/core/freshness.rs \
  's/if watcher \{ self\.bounds\.watcher_max_age\(\) \}/if watcher { self.bounds.max_age() }/' stairvale-serve core
mutant "each zone's watcher reads the store" crates/stairvale-serve/src/core/freshness.rs \
  's/self\.roles\.reader\.as_ref\(\) == Some\(&self\.me\) \&\& self\.has_discovered_peers\(now\)/self.watcher().as_ref() == Some(\&self.me) \&\& self.has_discovered_peers(now)/' stairvale-serve core
mutant "a zone counts as partitioned although its upstreams answer" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/!answers && self/answers | true \&\& self/' stairvale-dispatch pool
mutant "an unresponsive engine is a source of copies" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/ && !member\.health\.is_unresponsive\(\)$//' stairvale-dispatch pool
mutant "a part counts as cached while it is prefilled" crates/stairvale-dispatch/src/cache.rs \
  's/cached\.reader = Some\(reader\);/cached.reader = None;/' stairvale-dispatch pool
mutant "what a failed request hadn't prefilled counts as cached" crates/stairvale-dispatch/src/pool.rs \
  's/member\.cache\.abort_prefill\(&read, attempt\);/member.cache.finish_prefill(\&read);/' stairvale-dispatch pool
mutant "a request that waited for a prefill gets its full queueing time again" crates/stairvale-dispatch/src/pool/queue.rs \
  's/let until = arrived \+ ask\.patience;/let until = now + ask.patience;/' stairvale-dispatch pool
mutant "a home gives a cold engine three fifths of its bound" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/const HOME_SHARE: f64 = 0\.4;/const HOME_SHARE: f64 = 0.6;/' stairvale-dispatch cold
mutant "a new home gives cold engines requests at once" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/self\.share\.since \} else \{ now \+ GRANT_WINDOW \}/self.share.since } else { now }/' stairvale-dispatch cold
mutant "a home's share for cold engines doesn't shrink in a partition" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/self\.share\.fraction \* cold\.pace/cold.pace/' stairvale-dispatch cold
mutant "the grant window is too short for late sends to cold engines" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/from_millis\(1_250\)/from_millis(700)/' stairvale-dispatch cold
mutant "an engine that turned cold still counts as holding prompts" crates/stairvale-dispatch/src/member.rs \
  's/self\.cache\.clear\(\);//' stairvale-dispatch cold
mutant "the short scan of candidates stops too early" crates/stairvale-dispatch/src/pool/choose.rs \
  's/prefill\.time\(missing \* COPY_COST_RATIO\) - PROBE_VALUE_MS/prefill.time(missing * COPY_COST_RATIO) + 60.0/' stairvale-dispatch pool
mutant "a reservation has no limit on its requests" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.left > 0 \&\& now </now </' stairvale-dispatch histories
mutant "a reservation doesn't expire" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.left > 0 \&\& now < self\.reserved\.until/self.left > 0/' stairvale-dispatch histories
mutant "a retry is sent to a version on trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/ask\.avoid\.is_empty\(\) \&\& \(ask\.repeatable/(ask.repeatable/' stairvale-dispatch rollout
mutant "an unrepeatable request is sent to a version on trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/ask\.avoid\.is_empty\(\) \&\& \(ask.*\)\)$/ask.avoid.is_empty())/' stairvale-dispatch rollout
mutant "a reservation outlives its roll-out" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.versions\.active = None;//' stairvale-dispatch rollout
mutant "the same upstreams are always selected for a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/\(!within_rate\(member\), member\.last_reservation,/(!within_rate(member), 0,/' stairvale-dispatch rollout
mutant "one of the selected upstreams gets all requests of a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/const MAX_IMBALANCE: u32 = 1;/const MAX_IMBALANCE: u32 = 1_000;/' stairvale-dispatch rollout
mutant "an upstream that others avoid stays selected for a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/near\(member\) \&\& \(!any_open \|\| member\.health\.is_open\(now\)\)/near(member)/' stairvale-dispatch rollout
mutant "a rare route gets hardly any requests of a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/share\.requests \/ all \+ equal/share.requests \/ all/' stairvale-dispatch rollout
mutant "all requests of a rare route go to a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/share\.skips = if carries_all \{ 0 \} else \{ 2 \};//' stairvale-dispatch rollout
mutant "old engines copy from a version on trial" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/member\.serves\(\) \&\& !self\.partitioned/!self.partitioned/' stairvale-dispatch rollout
mutant "a version on trial counts as one that serves" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/member\.serves\(\) \&\& self\.reaches/self.reaches/' stairvale-dispatch rollout
mutant "a move to another version overloads the new upstreams" crates/stairvale-dispatch/src/pool/allowance.rs \
  's/const LEAVING: Self = Self \{ admission: Admission::LastResort/const LEAVING: Self = Self { admission: Admission::Any/' stairvale-dispatch rollout
mutant "a version on trial changes the usual times" crates/stairvale-dispatch/src/pool.rs \
  's/let usual = member\.admission != Admission::Trial;/let usual = true;/' stairvale-dispatch watch
mutant "a new version is compared with its own times" crates/stairvale-dispatch/src/pool/watch.rs \
  's/ \&\& !\(watched \&\& is_new\)//' stairvale-dispatch watch
mutant "a version is blamed for a copy from a lost engine" crates/stairvale-dispatch/src/pool/watch.rs \
  's/is_none_or\(\|member\| !reach\.can_copy\(member\)\)/is_none()/' stairvale-dispatch watch
mutant "a late request is reported twice" crates/stairvale-dispatch/src/pool/watch.rs \
  's/^ *\|\| hold\.reported_slow$//' stairvale-dispatch watch
mutant "a request that its entry no longer renews is reported as late" crates/stairvale-dispatch/src/pool/watch.rs \
  's/millis\(hold\.renewed\.since\(since\)\) > limit_ms/millis(now.since(since)) > limit_ms/' stairvale-dispatch watch
mutant "old observations are reported as new" crates/stairvale-dispatch/src/pool/watch.rs \
  's/now\.since\(self\.last_request\) >= MAX_REPORT_INTERVAL/false/' stairvale-dispatch watch
mutant "an evacuated zone's upstreams count as usable" crates/stairvale-replica/src/view/lookups.rs \
  's/current\.state == State::Ready \&\& !self\.is_evacuated\(&current\.zone\)/current.state == State::Ready/' stairvale-replica view
mutant "a copy is confirmed by a peer that didn't send the changes" crates/stairvale-serve/src/core/freshness.rs \
  's/if revision == self\.view\.revision\(\) \{/if revision >= self.view.revision() {/' stairvale-serve core
mutant "running requests aren't reported to a new home" crates/stairvale-serve/src/core/mod.rs \
  's/effects\.extend\(self\.renew_at_new_homes\(now\)\);//' stairvale-serve core
mutant "a home waits for weak routers" crates/stairvale-serve/src/core/roles.rs \
  's/router\.strength \* 2 >= strongest\)/router.strength <= strongest)/' stairvale-serve core
mutant "a copy counts as current as of the peer's answer" crates/stairvale-serve/src/core/freshness.rs \
  's/self\.view\.confirm_by_peer\(sent_at, age\)/self.view.confirm(now)/' stairvale-serve core
mutant "a late timer makes a home count as unresponsive" crates/stairvale-serve/src/permit.rs \
  's/timeout\(LATE_REPLY_GRACE, /timeout(LATE_REPLY_GRACE * 0, /' stairvale-serve parts
mutant "the load bound is exceeded" crates/stairvale-dispatch/src/pool/choose.rs \
  's/self\.rules\.load_slack - 1\.0\)/self.rules.load_slack + 2.0)/' stairvale-dispatch pool
mutant "a key isn't checked again before sending" crates/stairvale-serve/src/exchange/send.rs \
  's/self\.check_key\(\)\?;/let _ = self.check_key();/' stairvale-platform path
mutant "a starting router refuses requests at once" crates/stairvale-serve/src/shared.rs \
  's/CONFIGURATION_WAIT\.saturating_sub\(self\.now\(\)\.since\(Moment::ZERO\)\)/Duration::ZERO/' stairvale-platform path
mutant "a configuration from a stale read is put into force" crates/stairvale-serve/src/core/knowledge.rs \
  's/\.filter\(\|_\| self\.view\.is_confirmed\(\)\)/.filter(|_| true)/' stairvale-serve starts
mutant "a router that has discovered no peers reads for all" crates/stairvale-serve/src/core/naming.rs \
  's/\|\| self\.uptime\(now\) >= JOIN_TIMEOUT$/|| self.uptime(now) >= Duration::ZERO/' stairvale-serve starts
mutant "peers can't confirm a time before the request" crates/stairvale-replica/src/view.rs \
  's/i128::from\(requested_at\.0\)\.saturating_sub\(age\)/i128::from(requested_at.0).saturating_sub(age).max(i128::from(requested_at.0))/' stairvale-replica view
mutant "accusations by a router that returns are accepted" crates/stairvale-membership/src/swim.rs \
  's/if !\(from_returning \&\& self\.is_accusation\(&update\)\) \{/if !(false \&\& from_returning \&\& self.is_accusation(\&update)) {/' stairvale-membership membership
mutant "an answer from another router at its address proves a router alive" crates/stairvale-membership/src/swim/probe.rs \
  's/\&peer\.member\.router != name \&\& peer\.member\.address == from/false \&\& \&peer.member.router != name/' stairvale-membership membership
mutant "streams aren't pinged" crates/stairvale-link/src/links.rs \
  's/if sent \&\& !matches/if false \&\& sent \&\& !matches/' stairvale-link link
mutant "pending asks of broken streams aren't failed" crates/stairvale-serve/src/shared.rs \
  's/shared\.fail_pending_asks\(to\);//' stairvale-platform silence
exit $missed
