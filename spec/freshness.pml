/* Freshness: no router accepts a revoked key for longer than the limit after its revocation, regardless of message delays
 * and of how long a router is paused.
 *
 * The store holds a key until the operator revokes it. The first router reads the store. The second one starts with a stale
 * read, which may show any earlier state, and then queries the first.
 * Time is a counter that may advance at any moment, and every message may take any time. A router's copy carries the time at
 * which it was known to be current, which is the time of the query and never that of the response. Both routers forward
 * requests that carry the key.
 *
 * Broken variants, each of which must fail:
 *   -DFRESH_AT_ANSWER  a copy counts as fresh from the time at which the store's response arrived
 *   -DAGE_AT_ANSWER    the age of a peer's copy is subtracted from the time at which the peer's response arrived
 *   -DCHECK_ONCE       the copy's freshness is checked when a request is accepted, and not again when it is forwarded
 *   -DTAKE_OLDER       a response that is older than the router's copy is accepted as its confirmation
 *   -DSTALE_CONFIRMS   the result of a stale read counts as current
 *
 * crates/stairvale-serve/tests/core.rs, key_revocation_holds_through_any_faults, tests the same property with the
 * transitions of the implementation.
 */

#define LIMIT 2
#define END 4
#define ROUNDS 2

byte now = 0;
bool removed = false;           /* whether the operator has revoked the key in the store */
byte removed_at = 0;

bool known[2];                  /* whether a router has a copy with a known age */
bool gone[2];                   /* whether the key is revoked in the router's copy */
byte fresh[2];                  /* the latest time at which the router's copy is known to have been current */

#define TRUSTS(r) (known[r] && !gone[r] && now - fresh[r] < LIMIT)

/* Records that a copy in which the key's revocation is `g` was current at `moment`. */
inline confirm(r, g, moment) {
  if
#ifdef TAKE_OLDER
  :: true -> fresh[r] = (moment > fresh[r] || !known[r] -> moment : fresh[r]); gone[r] = g; known[r] = true
#else
  :: gone[r] && !g -> skip
  :: else -> fresh[r] = (moment > fresh[r] || !known[r] -> moment : fresh[r]); gone[r] = g; known[r] = true
#endif
  fi
}

active proctype clock() {
  do
  :: now < END -> now++
  :: else -> break
  od
}

active proctype operator() {
  atomic { removed = true; removed_at = now }
}

/* The first router reads the store. Two reads may be in progress, and the response to the older one may arrive last. */
proctype reader() {
  byte asked;
  bool answer;
  asked = now;
  /* the store answers at any later time */
  answer = removed;
  /* the response arrives at any time after that */
#ifdef FRESH_AT_ANSWER
  atomic { confirm(0, answer, now) }
#else
  atomic { confirm(0, answer, asked) }
#endif
}

/* The second router starts with a stale read and then queries the first. */
active proctype peer() {
  byte asked, age, round;
  bool answer, any;
  if
  /* the state before the revocation, whether or not the key has been revoked since */
  :: true -> gone[1] = false
  /* the current state */
  :: gone[1] = removed
  fi;
#ifdef STALE_CONFIRMS
  atomic { known[1] = true; fresh[1] = now };
#endif
  do
  :: round < ROUNDS ->
    asked = now;
    atomic { any = known[0]; answer = gone[0]; age = now - fresh[0] };
    atomic {
      if
#ifdef AGE_AT_ANSWER
      :: any && age <= now -> confirm(1, answer, now - age)
#else
      :: any && age <= asked -> confirm(1, answer, asked - age)
#endif
      :: else -> skip
      fi;
      round++
    }
  :: else -> break
  od
}

/* A request with the key at either router: accepted, possibly held for any time, and forwarded. */
active proctype request() {
  byte r;
  bool trusted;
  if
  :: r = 0
  :: r = 1
  fi;
  trusted = TRUSTS(r);
  if
  :: !trusted -> skip
  :: trusted ->
    atomic {
#ifdef CHECK_ONCE
      trusted = true;
#else
      trusted = TRUSTS(r);
#endif
      assert(!trusted || !removed || now <= removed_at + LIMIT)
    }
  fi
}

init {
  atomic { run reader(); run reader() }
}
