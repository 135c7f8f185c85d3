/* Permits of one engine through a change of its home: the engine never runs more requests than its bound.
 *
 * Two routers can be the home: the first until it is paused or crashes, then the second. There are two entries. Grants may
 * be in transit when the home changes, may be delayed or duplicated, and entries may time out. A paused home resumes later
 * without detecting that it was paused. By default all entries learn of the change at once. With -DLATE_VIEW each learns of
 * it separately, and a grant that was in transit when the first home was paused may exceed the bound, which is the drift
 * that docs/DESIGN.md states.
 *
 * Must hold as well:
 *   holds -DLATE_VIEW
 *
 * Broken variants, each of which must fail:
 *   -DNO_SETTLE    a new home starts from an empty account and ignores the load that the engine reports
 *   -DLATE_VIEW -DNO_DISTRUST  a home that was paused grants from its outdated account
 *   -DANY_GRANT    an entry accepts a grant from a home to which it no longer sends requests
 *   -DKEEP_LATE    an entry that timed out does not return a late grant (the permit is lost)
 *
 * Comments of the form `move: NAME` mark the moves. crates/stairvale-permit/tests/spec.rs performs the same moves with the
 * transitions of the implementation.
 */

#define ENTRIES 2
#define BOUND 1

#ifdef NO_DISTRUST
#define KNOWS_HOME(me) true
#else
#define KNOWS_HOME(me) (me == home)
#endif

#ifdef LATE_VIEW
#define HOME view
#else
#define HOME home
#endif

mtype = { ask, release, register, grant };

byte home = 0;
bool paused = false;     /* whether the first home is paused */
bool resumed = false;    /* whether it resumed and has not yet detected that it was paused */
byte runs = 0;           /* the requests that the engine runs, which is also the load that it reports */
bool runs_at[ENTRIES];
byte registered = 0;     /* the number of entries that registered their permits with the second home */
byte in_flight = 0;      /* the grants that were in transit when the first home was paused */
byte late = 0;           /* the late grants that an entry did not return */

chan to_home[2] = [5] of { mtype, byte, bool };
chan to_entry[ENTRIES] = [3] of { mtype, byte };

proctype home_process(byte me) {
  mtype message;
  byte from;
  bool holds;
  bool held[ENTRIES];
  byte count = 0;
  byte outstanding;

end:
  do
  :: !(me == 0 && paused) && nempty(to_home[me]) ->
    atomic {
      to_home[me]?message, from, holds;
      if
      :: me == 0 && resumed -> /* move: distrust; the account of a resumed home is void until the router has joined again */
#ifndef NO_DISTRUST
        resumed = false; message = register; holds = false; from = 0;
        held[0] = false; held[1] = false; count = 0
#else
        resumed = false
#endif
      :: else -> skip
      fi;
      if
      :: message == register -> /* move: register */
        if
        :: holds && !held[from] -> held[from] = true; count++
        :: else -> skip
        fi;
        if
        :: me == 1 -> registered++
        :: else -> skip
        fi
      :: message == release ->
        if
        :: held[from] -> /* move: release */ held[from] = false; count--
        :: else -> skip
        fi
      :: message == ask ->
        outstanding = count;
#ifndef NO_SETTLE
        /* Until every entry has registered, the reported load counts if it is higher than the account. */
        if
        :: me == 1 && registered < ENTRIES && runs > count -> outstanding = runs
        :: else -> skip
        fi;
#endif
        if
        :: KNOWS_HOME(me) && held[from] ->
          to_entry[from]!grant, me /* the request was a duplicate; the permit remains granted */
        :: KNOWS_HOME(me) && !held[from] && outstanding < BOUND -> /* move: grant */
          held[from] = true; count++;
          to_entry[from]!grant, me
        :: !KNOWS_HOME(me) || (!held[from] && outstanding >= BOUND) -> /* move: overflow */
          skip
        fi
      fi
    }
  od
}

proctype entry(byte me) {
  mtype message;
  byte from;
  byte asked = 0;
  bool waits = false;
  bool runs_here = false;
  byte at = 0;
  byte asks = 0;
  bool reregistered = false;
  byte view = 0;

end:
  do
  :: atomic { !waits && !runs_here && asks < 2 -> /* move: ask */
      asked = HOME; waits = true; asks++;
      to_home[asked]!ask, me, false
    }
  :: atomic { waits -> /* move: stop-waiting */
      waits = false
    }
  :: atomic { nempty(to_entry[me]) ->
      to_entry[me]?message, from;
      if
#ifdef ANY_GRANT
      :: waits ->
#else
      :: waits && from == asked && from == HOME ->
#endif
        /* move: take */
        waits = false; runs_here = true; at = from;
        runs++; runs_at[me] = true;
        assert(runs <= BOUND + in_flight)
      :: else -> /* move: return-late */
#ifndef KEEP_LATE
        if
        :: !(runs_here && at == from) -> to_home[from]!release, me, false
        :: runs_here && at == from -> skip
        fi
#else
        late++
#endif
      fi
    }
  :: atomic { runs_here -> /* move: end */
      runs_here = false; runs--; runs_at[me] = false;
      to_home[HOME]!release, me, false
    }
  :: atomic { home == 1 && !reregistered -> /* move: re-register */
      reregistered = true; waits = false; view = 1;
      if
      :: runs_here -> at = 1
      :: else -> skip
      fi;
      to_home[1]!register, me, runs_here
    }
  od
}

/* The first home is paused, the second takes over, and the first resumes. */
proctype home_change() {
  atomic { /* move: pause */
    paused = true; home = 1;
#ifdef LATE_VIEW
    in_flight = len(to_entry[0]) + len(to_entry[1])
#endif
  }
  atomic { paused = false; resumed = true }   /* move: resume */
}

/* Checks that no permit is lost: a late grant that is not returned is a permit that no entry uses or releases. */
proctype no_permit_lost() {
  assert(late == 0)
}

init {
  atomic {
    run home_process(0); run home_process(1);
    run entry(0); run entry(1);
    run home_change(); run no_permit_lost()
  }
}
