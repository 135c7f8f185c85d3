/* Freshness: a key that was taken away counts nowhere for longer than the limit, however long messages are under way and
 * however long a router stands still.
 *
 * The store holds a key until the operator takes it away. The first router reads the store; the second one starts with a stale
 * read, which may show any earlier state, and asks the first.
 * Time is a number that rises at any moment; every message takes any time. A router's copy carries the moment at which it
 * was the newest: that of the question, never that of the answer. Both routers pass requests with the key on.
 *
 * Broken variants, each of which must fail:
 *   -DFRESH_AT_ANSWER  a copy counts as fresh from the moment at which the store's answer came in
 *   -DAGE_AT_ANSWER    a peer's age is taken off the moment at which its answer came in
 *   -DCHECK_ONCE       whether keys count is looked at when a request is taken, and not again when it is sent
 *   -DTAKE_OLDER       an answer that shows less than what is known already counts as a confirmation
 *   -DSTALE_CONFIRMS   what a stale read shows counts as the newest
 *
 * crates/stairvale-serve/tests/core.rs, keys_are_safe_through_any_trouble, walks the code's own transitions.
 */

#define LIMIT 2
#define END 4
#define ROUNDS 2

byte now = 0;
bool removed = false;           /* whether the store still has the key */
byte removed_at = 0;

bool known[2];                  /* whether a router has a copy at all */
bool gone[2];                   /* whether the key is gone in its copy */
byte fresh[2];                  /* when its copy was the newest, as far as it knows */

#define TRUSTS(r) (known[r] && !gone[r] && now - fresh[r] < LIMIT)

/* A copy that shows `g` was the newest at `moment`. */
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

/* The first router reads the store. Two calls may be under way, and the older answer may come last. */
proctype reader() {
  byte asked;
  bool answer;
  asked = now;
  /* the store answers at any later moment */
  answer = removed;
  /* and the answer comes in later still */
#ifdef FRESH_AT_ANSWER
  atomic { confirm(0, answer, now) }
#else
  atomic { confirm(0, answer, asked) }
#endif
}

/* The second router begins with a stale read and asks the first. */
active proctype peer() {
  byte asked, age, round;
  bool answer, any;
  if
  /* as it was before the key was taken away, whenever that was */
  :: true -> gone[1] = false
  /* as it is */
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

/* A request with the key at either router: taken, maybe held for any time, and sent. */
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
