#!/usr/bin/env bash
# For each invariant a mutation that must be caught: the mechanism is switched off in a copy, and the named test must fail.
#
#   scripts/mutants.sh [WORD]   all of them, or those whose crate's name has WORD in it
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | grep -v '^docs/' | tar -cf - -T - | tar -xf - -C "$copy"
export CARGO_TARGET_DIR=$PWD/target/mutants
missed=0
only=${1:-}

# mutant NAME FILE SED CRATE TEST: applies the sed script, runs the test, and puts the file back.
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
  printf '%-58s %-28s %s\n' "$name" "$crate/$test" "$result"
  cp "$copy/original" "$file"
}

mutant "a new home ignores the reported load" crates/stairvale-permit/src/account.rs \
  's/self\.reported\.map\(\|reported\| reported\.max\(known\)\)/Some(known)/' stairvale-permit spec
mutant "a home that was paused keeps its accounts" crates/stairvale-permit/src/account.rs \
  's/self\.held\.clear\(\);//; s/self\.reported = None;//' stairvale-permit home
mutant "a late grant is not returned" crates/stairvale-permit/src/entry.rs \
  's/vec!\[Effect::Release \{ to: from\.clone\(\), upstream: upstream\.clone\(\), attempt \}\]/Vec::new()/' stairvale-permit entry
mutant "the bound is not looked at" crates/stairvale-permit/src/decide.rs \
  's/account\.outstanding\(now\)\? < limit\)/account.outstanding(now)? < limit + 1)/' stairvale-permit home
mutant "a claim is answered before it is written" crates/stairvale-claim/src/shard.rs \
  's/let mut effects = self\.answer_known\(&record\);/let mut effects: Vec<_> = std::mem::take(\&mut self.wishes).iter().map(|w| w.answer(ClaimVerdict::Yours { fence: 0 })).collect();/' stairvale-claim shard
mutant "a doubled answer gives a running claim back" crates/stairvale-control/src/handlers/claims.rs \
  's/let given_up = self\.given_up\.contains_key\(&attempt\);/let given_up = true;/' stairvale-control fleet
mutant "a keeper gives back what it never wrote" crates/stairvale-claim/src/shard.rs \
  's/if wish\.written \&\&/if true \&\&/' stairvale-claim shard
mutant "a lower generation is taken" crates/stairvale-control/src/generation.rs \
  's/if offered < in_force \{/if false {/; s/if offered == in_force \{/if offered == in_force || offered.0 == 0 {/; s/if to <= from \{/if false {/' stairvale-control spec
mutant "an operator's lost answer is not settled" crates/stairvale-control/src/apply.rs \
  's/if manifest\.find\(&self\.submission\.id\)\.is_some\(\) \{/if false {/' stairvale-control spec
mutant "an older word of an upstream wins" crates/stairvale-membership/src/upstreams.rs \
  's/word\.order\(\) <= old\.order\(\)/false/' stairvale-membership membership
mutant "a closed engine is granted" crates/stairvale-control/src/handlers/upstreams.rs \
  's/let usable = self\.fleet\.usable\(upstream\);/let usable = true;/' stairvale-control fleet
mutant "words are not shared after a cut" crates/stairvale-control/src/handlers/members.rs \
  's/if !words\.is_empty\(\) \{/if false {/' stairvale-control fleet
mutant "turns are not shared among customers" crates/stairvale-admission/src/queue.rs \
  's/let start = self\.last\.get\(customer\)\.copied\(\)\.unwrap_or\(0\)\.max\(self\.virtual_time\);/let start = 0;/' stairvale-admission admission
mutant "an answer goes out before its keeper knows it" crates/stairvale-control/src/handlers/claims.rs \
  's/self\.unsettled\.push\(settled\);/self.outputs.push(Output::Noted { attempt }); self.unsettled.push(settled);/' stairvale-control fleet
mutant "a holder orders only its own engines" crates/stairvale-control/src/handlers/engine_orders.rs \
  's/if let Some\(holder\) = holder \{/if let Some(holder) = holder.filter(|holder| holder == \&self.me) {/' stairvale-control fleet
mutant "a customer's share is forgotten soon" crates/stairvale-admission/src/limit.rs \
  's/SHARE_TTL: Duration = Duration::from_secs\(60\)/SHARE_TTL: Duration = Duration::from_secs(1)/' stairvale-admission limit
mutant "a successor's first words lift a surge's share" crates/stairvale-admission/src/limit.rs \
  's/\(knows \&\& fraction/(fraction/' stairvale-admission limit
mutant "a surge is told by the slots alone" crates/stairvale-permit/src/decide.rs \
  's/saturating_mul\(SURGE\)\.min\(rules\.slots\)/max(rules.slots)/' stairvale-permit home
mutant "the reserve is closed while a surge waits" crates/stairvale-permit/src/decide.rs \
  's/account\.queue\.is_empty\(\) \|\| .*$/account.queue.is_empty()/' stairvale-permit home
mutant "a submission relies on a chunk that may go" crates/stairvale-control/src/apply.rs \
  's/Answer::Conflict\) if self\.is_in_force\(index\) =>/Answer::Conflict) if index < usize::MAX =>/' stairvale-control sweep
mutant "a chunk that came back is deleted" crates/stairvale-control/src/sweep.rs \
  's/self\.batch\.retain\(\|found\| !manifest\.chunks\.contains\(&found\.chunk\)\);/drop(manifest.chunks.len());/' stairvale-control sweep
mutant "a failed engine is tried again on a hint" crates/stairvale-permit/src/entry.rs \
  's/if !is_candidate \|\| !directory/if !directory/' stairvale-permit entry
mutant "who stands in for a home inspects, too" crates/stairvale-serve/src/core/home.rs \
  's/ \|\| self\.standing_home\(service\) != Some\(&self\.me\)//' stairvale-serve core
mutant "who reads for itself tells its zone" crates/stairvale-serve/src/core/mod.rs \
  's/if !self\.is_watcher\(\)/if before == u64::MAX/' stairvale-serve core
mutant "a watcher is picked among all" crates/stairvale-serve/src/core/roles.rs \
  's/strength \* 2 >= strongest/strength * 2 >= strongest || self.leaving != self.table.has_customers()/' stairvale-serve core
mutant "a watcher that just took over is blamed" crates/stairvale-serve/src/core/freshness.rs \
  's/now\.since\(\*since\) >= patience/now >= *since/' stairvale-serve core
mutant "a zone's watcher waits as long as the others" crates/stairvale-serve/src/core/freshness.rs \
  's/if watcher \{ self\.bounds\.late\(\) \}/if watcher { self.bounds.stale() }/' stairvale-serve core
mutant "each zone's watcher reads the store" crates/stairvale-serve/src/core/freshness.rs \
  's/self\.has_met\(now\) \&\& self\.roles\.leader\.as_ref\(\)/self.has_met(now) \&\& self.watcher().as_ref()/' stairvale-serve core
mutant "a zone without routers is cut off" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/!answers && self/answers | true \&\& self/' stairvale-dispatch pool
mutant "a silent engine is a source" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/ && !member\.health\.is_silent\(\)$//' stairvale-dispatch pool
mutant "a part counts as kept while it is read" crates/stairvale-dispatch/src/cache.rs \
  's/kept\.reader = Some\(reader\);/kept.reader = None;/' stairvale-dispatch pool
mutant "what a failed reader hadn't read counts as kept" crates/stairvale-dispatch/src/pool.rs \
  's/member\.cache\.lose\(&read, attempt\);/member.cache.finish(\&read);/' stairvale-dispatch pool
mutant "who waited for a reader waits anew for a place" crates/stairvale-dispatch/src/pool.rs \
  's/let until = asked \+ ask\.patience;/let until = now + ask.patience;/' stairvale-dispatch pool
mutant "a cold engine gets three fifths of its bound" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/const PART: f64 = 0\.4;/const PART: f64 = 0.6;/' stairvale-dispatch cold
mutant "a new home gives cold engines something at once" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/self\.share\.since \} else \{ now \+ WINDOW \}/self.share.since } else { now }/' stairvale-dispatch cold
mutant "a home's part doesn't fall behind a cut" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/self\.share\.part \* cold\.pace/cold.pace/' stairvale-dispatch cold
mutant "late sends to cold engines aren't thought of" crates/stairvale-dispatch/src/pool/allowance/cold.rs \
  's/from_millis\(1_250\)/from_millis(700)/' stairvale-dispatch cold
mutant "an engine that turned cold still holds prompts" crates/stairvale-dispatch/src/member.rs \
  's/self\.cache\.clear\(\);//' stairvale-dispatch cold
mutant "the short look is content too soon" crates/stairvale-dispatch/src/pool/choose.rs \
  's/reading\.time\(lacks \* COPY\) - TRIAL/reading.time(lacks * COPY) + 60.0/' stairvale-dispatch pool
mutant "a reservation has no size" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.left > 0 \&\& now </now </' stairvale-dispatch histories
mutant "a reservation has no end" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.left > 0 \&\& now < self\.reserved\.until/self.left > 0/' stairvale-dispatch histories
mutant "a retry is tried" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/ask\.avoid\.is_empty\(\) \&\& \(ask\.repeatable/(ask.repeatable/' stairvale-dispatch rollout
mutant "what may run only once is tried" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/ask\.avoid\.is_empty\(\) \&\& \(ask.*\)\)$/ask.avoid.is_empty())/' stairvale-dispatch rollout
mutant "a reservation outlives its roll-out" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/self\.versions\.spell = None;//' stairvale-dispatch rollout
mutant "the same upstreams are always chosen" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/\(!bears\(member\), member\.turn,/(!bears(member), 0,/' stairvale-dispatch rollout
mutant "one of the chosen upstreams gets all" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/const UNEVEN: u32 = 1;/const UNEVEN: u32 = 1_000;/' stairvale-dispatch rollout
mutant "a closed upstream stays chosen" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/within\.is_near\(member\) \&\& member\.health\.is_open\(now\)/within.is_near(member)/' stairvale-dispatch rollout
mutant "a rare route gets hardly any part of a trial" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/portion\.seen \/ all \+ alike/portion.seen \/ all/' stairvale-dispatch rollout
mutant "a rare route is tried with all it has" crates/stairvale-dispatch/src/pool/allowance/versions.rs \
  's/portion\.rests = 2;//' stairvale-dispatch rollout
mutant "old engines copy from a version on trial" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/member\.serves\(\) \&\& !self\.cut/!self.cut/' stairvale-dispatch rollout
mutant "a version on trial counts as one that serves" crates/stairvale-dispatch/src/pool/allowance/reach.rs \
  's/member\.serves\(\) \&\& self\.reaches/self.reaches/' stairvale-dispatch rollout
mutant "moving overdoes the new upstreams" crates/stairvale-dispatch/src/pool/allowance.rs \
  's/const LEAVING: Self = Self \{ admission: Admission::Last/const LEAVING: Self = Self { admission: Admission::Any/' stairvale-dispatch rollout
mutant "a version on trial changes what is usual" crates/stairvale-dispatch/src/pool.rs \
  's/let usual = member\.admission != Admission::Trial;/let usual = true;/' stairvale-dispatch watch
mutant "a new version is its own measure" crates/stairvale-dispatch/src/pool/watch.rs \
  's/ \&\& !\(watched \&\& is_new\)//' stairvale-dispatch watch
mutant "a copy from a lost engine is held against a version" crates/stairvale-dispatch/src/pool/watch.rs \
  's/is_none_or\(\|member\| !within\.can_copy\(member\)\)/is_none()/' stairvale-dispatch watch
mutant "a late request is told twice" crates/stairvale-dispatch/src/pool/watch.rs \
  's/is_watched\(\) \|\| hold\.told/is_watched()/' stairvale-dispatch watch
mutant "what an entry no longer names is told as late" crates/stairvale-dispatch/src/pool/watch.rs \
  's/millis\(hold\.named\.since\(since\)\) > most/millis(now.since(since)) > most/' stairvale-dispatch watch
mutant "old observations are told as new" crates/stairvale-dispatch/src/pool/watch.rs \
  's/now\.since\(self\.at\) >= STALE/false/' stairvale-dispatch watch
mutant "an evacuation is not looked at" crates/stairvale-replica/src/view.rs \
  's/known\.state == State::Ready \&\& !self\.is_evacuated\(&known\.zone\)/known.state == State::Ready/' stairvale-replica view
mutant "a copy is confirmed by one that didn't tell what is new" crates/stairvale-serve/src/core/freshness.rs \
  's/if revision == self\.view\.revision\(\) \{/if revision >= self.view.revision() {/' stairvale-serve core
mutant "a new home isn't told what runs" crates/stairvale-serve/src/core/mod.rs \
  's/effects\.extend\(self\.greet_homes\(now\)\);//' stairvale-serve core
mutant "a home waits for weak routers" crates/stairvale-serve/src/core/roles.rs \
  's/router\.strength \* 2 >= strongest\)/router.strength <= strongest)/' stairvale-serve core
mutant "a copy is fresh from the answer on" crates/stairvale-serve/src/core/freshness.rs \
  's/self\.view\.confirm_told\(asked, age\)/self.view.confirm(now)/' stairvale-serve core
mutant "a late timer makes a home silent" crates/stairvale-serve/src/permit.rs \
  's/timeout\(CATCH_UP, /timeout(CATCH_UP * 0, /' stairvale-serve parts
mutant "the bound is passed by one" crates/stairvale-dispatch/src/pool/choose.rs \
  's/self\.rules\.slack - 1\.0\)/self.rules.slack + 2.0)/' stairvale-dispatch pool
mutant "a key isn't looked at again" crates/stairvale-serve/src/exchange.rs \
  's/self\.check_key\(\)\?;/let _ = self.check_key();/' stairvale-platform path
mutant "a starting router sends requests away" crates/stairvale-serve/src/shared.rs \
  's/CONFIGURATION_WAIT\.saturating_sub\(self\.now\(\)\.since\(Moment::ZERO\)\)/Duration::ZERO/' stairvale-platform path
mutant "what a stale read shows is in force" crates/stairvale-serve/src/core/knowledge.rs \
  's/\.filter\(\|_\| self\.view\.is_confirmed\(\)\)/.filter(|_| true)/' stairvale-serve starts
mutant "a router that has met nobody reads for all" crates/stairvale-serve/src/core/naming.rs \
  's/\|\| self\.life\(now\) >= JOIN$/|| self.life(now) >= Duration::ZERO/' stairvale-serve starts
mutant "peers don't vouch for a time before the start" crates/stairvale-replica/src/view.rs \
  's/i128::from\(asked\.0\)\.saturating_sub\(age\)/i128::from(asked.0).saturating_sub(age).max(i128::from(asked.0))/' stairvale-replica view
mutant "who comes back is believed when it blames others" crates/stairvale-membership/src/swim.rs \
  's/if !\(doubtful \&\& self\.is_blame\(\&update\)\) \{/if !(false \&\& doubtful \&\& self.is_blame(\&update)) {/' stairvale-membership membership
mutant "any router at its address speaks for another one" crates/stairvale-membership/src/swim.rs \
  's/\&peer\.member\.router != name \&\& peer\.member\.address == from/false \&\& \&peer.member.router != name/' stairvale-membership membership
mutant "streams are not pinged" crates/stairvale-link/src/links.rs \
  's/if used \&\& !matches/if false \&\& used \&\& !matches/' stairvale-link link
mutant "asks of broken streams wait" crates/stairvale-serve/src/shared.rs \
  's/shared\.unanswered\(to\);//' stairvale-platform silence
exit $missed
