/* Configurations: generations only rise, one generation is one document, and an operator is told the truth.
 *
 * Two operators submit from the same generation. The store's answer to a swap may be lost after it took effect. Three
 * routers hear of generations from the store and from each other, in any order, also old ones.
 *
 * Broken variants, each of which must fail:
 *   -DBLIND_WRITE  the manifest is written without comparing
 *   -DTAKE_LOWER   a router takes whatever it hears last
 *   -DNO_SETTLE    an operator whose answer was lost takes the swap for failed, without looking for its own submission
 *
 * The moves are marked; crates/stairvale-control/tests/spec.rs makes the same moves with the code's own transitions.
 */

#define ROUTERS 2
#define OPERATORS 2
#define NOBODY 9

byte generation = 1;            /* the store's manifest */
byte author[5];                 /* who made each generation */
byte router[ROUTERS];           /* what is in force at each router */
byte had[ROUTERS];              /* the highest it ever had */

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
      /* move: settle; the manifest's history tells whether its own submission is in it */
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
    assert(found == won) /* it is told that it won if and only if it did */
  }
}

proctype router_process(byte me) {
  byte heard;
  byte from;
  byte steps = 0;

  do
  :: steps < 4 -> steps++;
    if
    :: heard = generation /* move: from-store */
    :: from = 1 - me; heard = router[from] /* move: from-peer */
    fi;
    /* what was heard may be old by the time it is acted on */
    atomic {
      if
#ifdef TAKE_LOWER
      :: true -> router[me] = heard
#else
      :: heard > router[me] -> router[me] = heard /* move: take */
      :: heard <= router[me] -> skip /* move: refuse */
#endif
      fi;
      assert(router[me] >= had[me]);
      had[me] = router[me]
    }
  :: steps >= 4 -> break
  od
}

init {
  atomic {
    author[0] = NOBODY; author[1] = NOBODY; author[2] = NOBODY; author[3] = NOBODY; author[4] = NOBODY;
    router[0] = 1; router[1] = 1; had[0] = 1; had[1] = 1;
    run operator(0); run operator(1);
    run router_process(0); run router_process(1)
  }
}
