/* Roll-outs: the number of requests sent to a version on trial stays within its bound, no request is sent to it once the
 * validity period after its roll-back has passed, and a finished roll-out keeps its final stage. This holds regardless
 * of which routers act as the home and of how late the store applies their writes.
 *
 * The model has one roll-out order. The store holds one record (stage, reserved requests, revision) and shows the operator
 * its stage. Two homes hold copies of the record from some earlier time. Either home may be killed and restart from the
 * record, and either may find the version failing or healthy at any time. A write may take effect late or never, and its
 * response may be lost, after which the home writes again. Time is a counter that may advance at any moment, and messages may
 * take any time.
 *
 * Broken variants, each of which must fail:
 *   -DBLIND_WRITE      the store writes without comparing revisions
 *   -DGIVE_FIRST       a home uses its reservation as soon as it sends the write
 *   -DGIVE_UNKNOWN     a home uses its reservation although the response was lost
 *   -DNO_END           reservations never expire
 *   -DEND_AT_ANSWER    the validity of a reservation starts when the response arrives, not when the write was sent
 *   -DCOUNT_ONES_OWN   a home that restarts counts the reserved requests from zero
 *   -DKEEP_STAGE       a home whose write conflicts takes over the record's revision and keeps its own stage
 *   -DSTATUS_APART     the stage shown to the operator is stored by a separate write
 *
 * crates/stairvale-rollout/tests/interleavings.rs checks interleavings of the transitions of the
 * implementation.
 */

#define BOUND 1
#define VALID 1
#define END 3
#define WRITES 4                /* the maximum number of writes by both homes together */

#define TRIAL 0
#define MOVING 1
#define COMPLETED 2
#define ROLLED 3
#define OVER(s) ((s) >= COMPLETED)

/* The phases of a write. */
#define NONE 0
#define SENT 1
#define DONE 2
#define CONFLICT 3

byte now = 0;

/* The record in the store. */
byte stage = TRIAL;
byte granted = 0;
byte revision = 0;
byte status = TRIAL;            /* the stage that is shown to the operator */
byte ended_at = 0;

byte sent_on_trial = 0;         /* the requests sent to the version while it was on trial */
byte writes = 0;
bool killed = false;            /* whether a home was killed; it happens at most once */

active proctype clock() {
  do
  :: now < END -> now++
  :: else -> break
  od
}

inline show_operator(s) {
  assert(!OVER(status) || status == s);
  status = s
}

/* The stage is shown to the operator at any later time. */
proctype show_operator_later(byte s) {
  atomic { show_operator(s) }
}

/* The store applies a write, or rejects it because of a conflict. */
inline swap(expected, s, g, result) {
  if
#ifdef BLIND_WRITE
  :: true ->
#else
  :: revision != expected -> result = CONFLICT
  :: revision == expected ->
#endif
    /* a finished roll-out keeps its final stage */
    assert(!OVER(stage) || stage == s);
    if
    :: s == ROLLED && stage != ROLLED -> ended_at = now
    :: else -> skip
    fi;
    stage = s; granted = g; revision++; result = DONE;
#ifdef STATUS_APART
    run show_operator_later(s)
#else
    show_operator(s)
#endif
  fi
}

proctype home(byte h) {
  byte known_stage, known_granted, known_revision;
  byte phase, expected, s, g, sent;             /* the write in progress */
  bool is_late;                                 /* whether a write whose response was lost may still take effect */
  byte late_expected, late_stage, late_granted;
  byte reserved, until;
  byte ignored;
  bool failing;
  do
  /* the home updates its copy of the record */
  :: atomic { phase == NONE && known_revision != revision ->
       known_stage = stage; known_granted = granted; known_revision = revision }
  /* this home finds the version failing */
  :: atomic { !failing && !OVER(known_stage) -> failing = true; reserved = 0; until = 0 }
  /* the home reserves a request for the version on trial */
  :: atomic { phase == NONE && writes < WRITES && !failing && known_stage == TRIAL && known_granted < BOUND ->
       phase = SENT; expected = known_revision; s = TRIAL; g = known_granted + 1; sent = now; writes++;
#ifdef GIVE_FIRST
       reserved = 1; until = now + VALID
#endif
     }
  /* the home moves the roll-out to its next stage */
  :: atomic { phase == NONE && writes < WRITES && !OVER(known_stage) ->
       phase = SENT; expected = known_revision; g = known_granted; sent = now; writes++;
       if
       :: failing -> s = ROLLED
       :: !failing -> s = known_stage + 1
       fi }
  /* the store processes the write */
  :: atomic { phase == SENT -> swap(expected, s, g, phase) }
  /* the response is lost, before or after the store has processed the write */
  :: atomic { phase != NONE ->
       if
       :: phase == SENT && !is_late -> is_late = true; late_expected = expected; late_stage = s; late_granted = g
       :: else -> skip
       fi;
#ifdef GIVE_UNKNOWN
       if
       :: s == TRIAL && !failing -> reserved = 1; until = sent + VALID
       :: else -> skip
       fi;
#endif
       phase = NONE; expected = 0; s = 0; g = 0; sent = 0 }
  /* the response arrives */
  :: atomic { phase == DONE ->
       known_stage = s; known_granted = g; known_revision = expected + 1;
       if
       :: s == TRIAL && !failing ->
#ifndef GIVE_FIRST
          reserved = 1;
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
  /* a write whose response was lost takes effect late */
  :: atomic { is_late ->
       is_late = false; swap(late_expected, late_stage, late_granted, ignored);
       ignored = 0; late_expected = 0; late_stage = 0; late_granted = 0 }
  /* one request is sent to the version on trial */
#ifdef NO_END
  :: atomic { reserved > 0 && !failing && known_stage == TRIAL ->
#else
  :: atomic { reserved > 0 && !failing && known_stage == TRIAL && now < until ->
#endif
       reserved = 0; until = 0; sent_on_trial++;
       assert(sent_on_trial <= BOUND);
       assert(stage != ROLLED || now < ended_at + VALID) }
  /* the home is killed and restarts from the record in the store; a write that it sent may still take effect */
  :: atomic { !killed ->
       killed = true; failing = false; reserved = 0; until = 0;
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
  :: writes == WRITES && phase == NONE && !is_late && reserved == 0 -> break
  od
}

init {
  atomic { run home(0); run home(1) }
}
