/* Permits of one engine through a change of its home: the engine never has more than its bound.
 *
 * Two routers can be the home: the first until it is paused or dies, then the second. Two entries. Grants may be on
 * their way when the home changes, may come late or twice, and entries give up waiting. A paused home goes on later
 * without knowing that it was paused. Entries hear of the change together; with -DLATE_VIEW each hears of it by itself,
 * and a grant that was on its way when the first home was paused comes on top of the bound, which is the drift that
 * docs/DESIGN.md states.
 *
 * Must hold as well:
 *   holds -DLATE_VIEW
 *
 * Broken variants, each of which must fail:
 *   -DNO_SETTLE    a new home starts from an empty account and does not count the reported load
 *   -DLATE_VIEW -DNO_DISTRUST  a home that was paused grants on its old account
 *   -DANY_GRANT    an entry takes a grant from a home that it no longer asks
 *   -DKEEP_LATE    an entry that gave up keeps a late grant (the permit is lost)
 *
 * The moves are marked; crates/stairvale-permit/tests/spec.rs makes the same moves with the code's own transitions.
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
bool paused = false;     /* the first home is not running */
bool resumed = false;    /* it went on, and doesn't know yet that it was paused */
byte runs = 0;           /* what the engine really runs, which is also what it reports */
bool runs_at[ENTRIES];
byte registered = 0;     /* entries that told the second home what they hold */
byte in_flight = 0;      /* grants that were on their way when the first home was paused */
byte late = 0;           /* late grants that an entry kept to itself */

chan to_home[2] = [5] of { mtype, byte, bool };
chan to_entry[ENTRIES] = [3] of { mtype, byte };

proctype home_process(byte me) {
  mtype what;
  byte from;
  bool holds;
  bool held[ENTRIES];
  byte count = 0;
  byte outstanding;

end:
  do
  :: !(me == 0 && paused) && nempty(to_home[me]) ->
    atomic {
      to_home[me]?what, from, holds;
      if
      :: me == 0 && resumed -> /* move: distrust; all it knew is void until it has joined again */
#ifndef NO_DISTRUST
        resumed = false; what = register; holds = false; from = 0;
        held[0] = false; held[1] = false; count = 0
#else
        resumed = false
#endif
      :: else -> skip
      fi;
      if
      :: what == register -> /* move: register */
        if
        :: holds && !held[from] -> held[from] = true; count++
        :: else -> skip
        fi;
        if
        :: me == 1 -> registered++
        :: else -> skip
        fi
      :: what == release ->
        if
        :: held[from] -> /* move: release */ held[from] = false; count--
        :: else -> skip
        fi
      :: what == ask ->
        outstanding = count;
#ifndef NO_SETTLE
        /* Until every entry has registered, the reported load counts where it is higher. */
        if
        :: me == 1 && registered < ENTRIES && runs > count -> outstanding = runs
        :: else -> skip
        fi;
#endif
        if
        :: KNOWS_HOME(me) && held[from] ->
          to_entry[from]!grant, me /* the ask was doubled; the permit stands */
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
  mtype what;
  byte from;
  byte asked = 0;
  bool waits = false;
  bool runs_here = false;
  byte at = 0;
  byte asks = 0;
  bool told = false;
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
      to_entry[me]?what, from;
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
  :: atomic { home == 1 && !told -> /* move: re-register */
      told = true; waits = false; view = 1;
      if
      :: runs_here -> at = 1
      :: else -> skip
      fi;
      to_home[1]!register, me, runs_here
    }
  od
}

/* The first home is paused, the second takes over, and the first goes on. */
proctype fate() {
  atomic { /* move: pause */
    paused = true; home = 1;
#ifdef LATE_VIEW
    in_flight = len(to_entry[0]) + len(to_entry[1])
#endif
  }
  atomic { paused = false; resumed = true }   /* move: resume */
}

/* A late grant that isn't returned is a permit that nobody uses and nobody gives back. */
proctype quiet() {
  assert(late == 0)
}

init {
  atomic {
    run home_process(0); run home_process(1);
    run entry(0); run entry(1);
    run fate(); run quiet()
  }
}
