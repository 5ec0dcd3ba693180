// Shared lease, journal fenced by position, and revisions of the table.
//
// Two owners believe what a lapsing lease told them and may be paused anywhere.
// Positions are created only, under the guard that the snapshot has not moved.
// One of the owners trims. The store may be down for a while.
//
// expect: pass
// expect-violation: -DNO_CREATE
// expect-violation: -DNO_GUARD
// expect-violation: -DNO_COMMIT
// expect: pass -DTABLE
// expect-violation: -DTABLE -DNO_ORDER

#define LAST 3            /* positions of the journal, from 1 */
#define FREE 0

#ifdef NO_CREATE
#define EMPTY(p) true
#else
#define EMPTY(p) (slot[p] == FREE)
#endif
#ifdef NO_GUARD
#define UNMOVED(i) true
#else
#define UNMOVED(i) (cover == i)
#endif

byte slot[LAST + 1];      /* who wrote a position, FREE if empty or trimmed */
byte wrote[LAST + 1];     /* how many writes a position ever took */
byte top;                 /* the last position ever written */
byte cover;               /* positions up to here may be trimmed; also the guard's index */
bool up = true;
byte revision;            /* of the table in the store */
byte shown[2];            /* the revision in force in each process */
bool ended[2];

/* create is one atomic call of the store. */
inline create(me, pos, index, ok) {
  atomic {
    ok = false;
    if
    :: up && EMPTY(pos) && UNMOVED(index) ->
       slot[pos] = me; wrote[pos]++; ok = true;
          assert(wrote[pos] == 1);      /* one owner extends a position, once */
          assert(pos == top + 1);       /* no reversion: the journal only grows at its end */
          top = pos
    :: else -> skip
    fi
  }
}

proctype Owner(byte me) {
  byte pos, index; bool ok;
reopen:
  atomic { up -> index = cover; pos = top + 1 }   /* read snapshot and segments */
  do
  :: pos > LAST -> break
  :: pos <= LAST ->
     create(me, pos, index, ok);
     if
     :: ok ->
        assert(slot[pos] == me || cover >= pos);  /* acted on only while it stands, or is covered */
        pos++
     :: !ok && up -> goto reopen
     :: !up ->
#ifdef NO_COMMIT
        atomic { assert(slot[pos] == me); pos++ } /* acts although nothing was committed */
#else
        up                                        /* waits for the store */
#endif
     fi
  :: pos > 1 && pos <= LAST && index < pos - 1 -> /* snapshot, then trim */
     atomic {
       if
       :: up && cover == index -> cover = pos - 1; index = cover
       :: else -> goto reopen
       fi
     };
     byte t = 1;
     do
     :: t <= index -> slot[t] = FREE; t++
     :: else -> break
     od
  od;
  ended[me - 1] = true
}

/* Store goes down once and always comes back. */
proctype Store() {
  byte n = 0;
  do
  :: n < 1 -> up = false; n++; up = true
  :: n == 1 -> break
  od
}

chan news[2] = [2] of { byte };

/* Editor commits two revisions; the news of them may overtake each other. */
proctype Editor() {
  atomic { up -> revision = 1 };
  atomic { up -> revision = 2 };
  byte i;
  for (i : 0 .. 1) {
    if
    :: news[i]!1; news[i]!2
    :: news[i]!2; news[i]!1
    fi
  }
}

proctype Process(byte me) {
  byte r, n = 0;
  do
  :: n < 2 -> atomic {
       news[me]?r; n++;
#ifndef NO_ORDER
       if
       :: r > shown[me] -> shown[me] = r
       :: else -> skip
       fi
#else
       assert(r >= shown[me]); shown[me] = r      /* a table in force never reverts */
#endif
     }
  :: n == 2 -> break
  od;
  assert(shown[me] == revision);
  ended[me] = true
}

init {
#ifdef TABLE
  atomic { run Store(); run Editor(); run Process(0); run Process(1) }
#else
  atomic { run Store(); run Owner(1); run Owner(2) }
#endif
}

/* progress: once the store answers, both owners or processes come to their end. */
ltl progress { <> (ended[0] && ended[1]) }
