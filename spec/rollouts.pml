/* Roll-outs: what a version on trial gets stays within its bound, nothing goes to it a while after it was rolled back, and
 * what has ended stays as it ended, whoever takes itself for the home and however late the store does what it was told.
 *
 * One order. The store holds one record (stage, what was set aside, a revision) and tells the operator its stage. Two homes
 * know the record as it was at some time; either one may be killed and start from the record, and either may find the version bad
 * or good at any moment. A write may be done late, or never, and its answer may be lost; the home then writes again. Time is
 * a number that rises at any moment, and messages take any time.
 *
 * Broken variants, each of which must fail:
 *   -DBLIND_WRITE      the store writes without comparing revisions
 *   -DGIVE_FIRST       a home gives what it reserves when it sends the write
 *   -DGIVE_UNKNOWN     a home gives what it reserved when the answer was lost
 *   -DNO_END           what was reserved never ends
 *   -DEND_AT_ANSWER    what was reserved ends some time after the answer came, not after the write was sent
 *   -DCOUNT_ONES_OWN   a home that starts counts what was set aside from nothing
 *   -DKEEP_STAGE       a home that meets another record takes its revision and goes on with its own stage
 *   -DSTATUS_APART     the operator is told by a write of its own
 *
 * crates/stairvale-rollout/tests/interleavings.rs walks the code's own transitions.
 */

#define BOUND 1
#define VALID 1
#define END 3
#define WRITES 4                /* of both homes together */

#define TRIAL 0
#define MOVING 1
#define COMPLETED 2
#define ROLLED 3
#define OVER(s) ((s) >= COMPLETED)

/* How far a write is. */
#define NONE 0
#define SENT 1
#define DONE 2
#define CONFLICT 3

byte now = 0;

/* The store. */
byte stage = TRIAL;
byte granted = 0;
byte revision = 0;
byte status = TRIAL;            /* what the operator was told */
byte ended_at = 0;

byte given = 0;                 /* what the version got while it was on trial */
byte writes = 0;
bool killed = false;            /* one home is killed, once */

active proctype clock() {
  do
  :: now < END -> now++
  :: else -> break
  od
}

inline tell_operator(s) {
  assert(!OVER(status) || status == s);
  status = s
}

/* The operator is told at any later moment. */
proctype tell_later(byte s) {
  atomic { tell_operator(s) }
}

/* The store takes a write, or not. */
inline swap(expected, s, g, result) {
  if
#ifdef BLIND_WRITE
  :: true ->
#else
  :: revision != expected -> result = CONFLICT
  :: revision == expected ->
#endif
    /* what has ended stays as it ended */
    assert(!OVER(stage) || stage == s);
    if
    :: s == ROLLED && stage != ROLLED -> ended_at = now
    :: else -> skip
    fi;
    stage = s; granted = g; revision++; result = DONE;
#ifdef STATUS_APART
    run tell_later(s)
#else
    tell_operator(s)
#endif
  fi
}

proctype home(byte h) {
  byte known_stage, known_granted, known_revision;
  byte phase, expected, s, g, sent;             /* the write that is under way */
  bool is_late;                                 /* one whose answer was lost, and that may be done yet */
  byte late_expected, late_stage, late_granted;
  byte left, until;
  byte ignored;
  bool bad;
  do
  /* the copy of the store is brought up to date */
  :: atomic { phase == NONE && known_revision != revision ->
       known_stage = stage; known_granted = granted; known_revision = revision }
  /* the version is found bad, here */
  :: atomic { !bad && !OVER(known_stage) -> bad = true; left = 0; until = 0 }
  /* something is set aside */
  :: atomic { phase == NONE && writes < WRITES && !bad && known_stage == TRIAL && known_granted < BOUND ->
       phase = SENT; expected = known_revision; s = TRIAL; g = known_granted + 1; sent = now; writes++;
#ifdef GIVE_FIRST
       left = 1; until = now + VALID
#endif
     }
  /* the next stage */
  :: atomic { phase == NONE && writes < WRITES && !OVER(known_stage) ->
       phase = SENT; expected = known_revision; g = known_granted; sent = now; writes++;
       if
       :: bad -> s = ROLLED
       :: !bad -> s = known_stage + 1
       fi }
  /* the store does it */
  :: atomic { phase == SENT -> swap(expected, s, g, phase) }
  /* its answer is lost, before or after that */
  :: atomic { phase != NONE ->
       if
       :: phase == SENT && !is_late -> is_late = true; late_expected = expected; late_stage = s; late_granted = g
       :: else -> skip
       fi;
#ifdef GIVE_UNKNOWN
       if
       :: s == TRIAL && !bad -> left = 1; until = sent + VALID
       :: else -> skip
       fi;
#endif
       phase = NONE; expected = 0; s = 0; g = 0; sent = 0 }
  /* its answer comes */
  :: atomic { phase == DONE ->
       known_stage = s; known_granted = g; known_revision = expected + 1;
       if
       :: s == TRIAL && !bad ->
#ifndef GIVE_FIRST
          left = 1;
#ifdef END_AT_ANSWER
          until = now + VALID
#else
          until = sent + VALID
#endif
#else
          skip
#endif
       :: else -> skip
       fi;
       phase = NONE; expected = 0; s = 0; g = 0; sent = 0 }
  :: atomic { phase == CONFLICT ->
       known_granted = granted; known_revision = revision;
#ifndef KEEP_STAGE
       known_stage = stage;
#endif
       phase = NONE; expected = 0; s = 0; g = 0; sent = 0 }
  /* a write is done late */
  :: atomic { is_late ->
       is_late = false; swap(late_expected, late_stage, late_granted, ignored);
       ignored = 0; late_expected = 0; late_stage = 0; late_granted = 0 }
  /* one request goes to the version on trial */
#ifdef NO_END
  :: atomic { left > 0 && !bad && known_stage == TRIAL ->
#else
  :: atomic { left > 0 && !bad && known_stage == TRIAL && now < until ->
#endif
       left = 0; until = 0; given++;
       assert(given <= BOUND);
       assert(stage != ROLLED || now < ended_at + VALID) }
  /* it is killed, and starts from what the store has; what it sent may still be done */
  :: atomic { !killed ->
       killed = true; bad = false; left = 0; until = 0;
       if
       :: phase == SENT && !is_late -> is_late = true; late_expected = expected; late_stage = s; late_granted = g
       :: else -> skip
       fi;
       phase = NONE; expected = 0; s = 0; g = 0; sent = 0;
       known_stage = stage; known_revision = revision;
#ifdef COUNT_ONES_OWN
       known_granted = 0
#else
       known_granted = granted
#endif
     }
  :: writes == WRITES && phase == NONE && !is_late && left == 0 -> break
  od
}

init {
  atomic { run home(0); run home(1) }
}
