/* Configurations: generations only increase, each generation is one document, and an operator receives the true result of
 * a submission.
 *
 * Two operators submit from the same generation. The store's response to a compare-and-swap may be lost after it took
 * effect. Two routers receive generations from the store and from each other, in any order, including old ones.
 *
 * Broken variants, each of which must fail:
 *   -DBLIND_WRITE  the manifest is written without comparing generations
 *   -DTAKE_LOWER   a router accepts the generation that it received last, also a lower one
 *   -DNO_SETTLE    an operator treats a swap with a lost response as failed, without looking up its own submission
 *
 * Comments of the form `move: NAME` mark the moves. crates/stairvale-control/tests/spec.rs performs the same moves with the
 * transitions of the implementation.
 */

#define ROUTERS 2
#define OPERATORS 2
#define NOBODY 9

byte generation = 1;            /* the generation of the manifest in the store */
byte author[5];                 /* the operator that submitted each generation */
byte router[ROUTERS];           /* the generation in force at each router */
byte highest[ROUTERS];          /* the highest generation that was in force at each router */

proctype operator(byte me) {
  byte base;
  bool won;
  byte i;
  bool found;

  base = generation;
  do
  :: /* move: swap */
    atomic {
      if
#ifdef BLIND_WRITE
      :: true -> generation = base + 1; author[generation] = me; won = true
#else
      :: generation == base -> generation = base + 1; author[generation] = me; won = true
      :: generation != base -> won = false
#endif
      fi
    };
    if
    :: true -> /* move: answered */
      break
    :: true -> /* move: answer-lost */
#ifdef NO_SETTLE
      won = false
#else
      /* move: settle; the manifest's history shows whether it includes the operator's own submission */
      atomic {
        won = false;
        i = 2;
        do
        :: i <= generation -> won = (won || author[i] == me); i++
        :: else -> break
        od;
        i = 0
      }
#endif
      ;
      break
    fi
  od;
  atomic {
    found = false;
    i = 2;
    do
    :: i <= generation -> found = (found || author[i] == me); i++
    :: else -> break
    od;
    i = 0;
    assert(found == won) /* the operator sees its submission as successful if and only if it was */
  }
}

proctype router_process(byte me) {
  byte received;
  byte from;
  byte steps = 0;

  do
  :: steps < 4 -> steps++;
    if
    :: received = generation /* move: from-store */
    :: from = 1 - me; received = router[from] /* move: from-peer */
    fi;
    /* the received generation may be outdated by the time it is processed */
    atomic {
      if
#ifdef TAKE_LOWER
      :: true -> router[me] = received
#else
      :: received > router[me] -> router[me] = received /* move: take */
      :: received <= router[me] -> skip /* move: refuse */
#endif
      fi;
      assert(router[me] >= highest[me]);
      highest[me] = router[me]
    }
  :: steps >= 4 -> break
  od
}

init {
  atomic {
    author[0] = NOBODY; author[1] = NOBODY; author[2] = NOBODY; author[3] = NOBODY; author[4] = NOBODY;
    router[0] = 1; router[1] = 1; highest[0] = 1; highest[1] = 1;
    run operator(0); run operator(1);
    run router_process(0); run router_process(1)
  }
}
