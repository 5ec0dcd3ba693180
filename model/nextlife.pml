// Late calls to a life of a worker reach its next life, which has met no fence. One task, one worker with two
// lives, and another worker ("elsewhere"). Safety: no two runs of the task at a time, and no start after a run's
// end that the worker was made to forget. Each variant leaves out one guard of docs/design/next-life.md.
// expect: pass
// expect-violation: -DSAME_FENCE_FOR_NEXT_LIFE
// expect-violation: -DFREE_BEFORE_SNAPSHOT
// expect-violation: -DFREE_OPEN_START_AT_LAPSE
// expect-violation: -DSTART_UNDER_FENCE_OF_ACK
// expect-violation: -DACK_BESIDE_OPEN_START
// expect-violation: -DSHORT_LEASE_AFTER_RESTART
// expect-violation: -DNOTICE_ENDS_PRESENT_LIFE

#define MAXLIFE 1
#define MAXFENCE 6

mtype = { free, held, here, elsewhere, done };

// The worker: its fence, runs, unacknowledged end and lease.
bool alive = true, runs, ended, knowsRun, longLease;
byte life, fence = 1, ends = 1;

// The agent: the life that it knows, its fence, whether the snapshot of that life under it has been sent, and
// the number up to which ends are acknowledged. cut is set while it can't reach the worker.
byte known, agentFence = 1, acked = 1;
bool snapshot = true, cut;

// Calls without an answer that may still be carried out; the numbers are their fences, 0 is none.
byte lateStart, lateAck, lateAckedUpTo, lateLease;
bool lateNotice, noticed;

// The scheduler's view of the task, whether it runs elsewhere, and whether its end was forgotten unseen.
mtype task = free;
bool other, forgotten;

// settled is set while a start may be late of which a life's answer has shown that it wasn't carried out. Nothing guards
// against the end of that life.
bool settled;

#ifdef ACK_BESIDE_OPEN_START
#define MAY_ACK true
#else
#define MAY_ACK (lateStart == 0)
#endif

#ifdef FREE_OPEN_START_AT_LAPSE
#define HOLDS false
#else
#define HOLDS (lateStart != 0)
#endif

#define reachable (alive && !cut && life == known)
#define atFence(f) (f >= fence)

inline carryOutStart(f) {
  if
  :: alive && atFence(f) ->
     fence = f;
     if
     :: !knowsRun ->
        runs = true; knowsRun = true;
        assert(!other || task == done)
     :: else
     fi
  :: else
  fi
}

inline carryOutAck(f, n) {
  if
  :: alive && atFence(f) ->
     fence = f;
     if
     :: ended && ends <= n ->
        ended = false;
        if :: task != done -> forgotten = true :: else fi
     :: else
     fi
  :: else
  fi
}

inline endRuns() { runs = false; ended = false; longLease = false }

active proctype system() {
end:
  do
  // The scheduler starts the task here; the call may get no answer, and a repeated one may succeed.
  :: atomic { task == free && snapshot && reachable && lateStart == 0 && agentFence < MAXFENCE ->
     assert(!forgotten);
     task = here;
#ifndef START_UNDER_FENCE_OF_ACK
     if :: lateAck == agentFence -> agentFence++ :: else fi;
#endif
     if
     :: carryOutStart(agentFence)
     :: lateStart = agentFence
     :: lateStart = agentFence; carryOutStart(agentFence)
     fi }
  :: atomic { task == free && !other ->
     assert(!forgotten);
     task = elsewhere; other = true;
     assert(!runs) }
  :: atomic { other -> other = false; if :: task == elsewhere -> task = done :: else fi }

  // Late calls are carried out by whichever life serves, or never.
  :: atomic { lateStart != 0 -> if :: carryOutStart(lateStart) :: true fi; lateStart = 0; settled = false }
  :: atomic { lateAck != 0 -> if :: carryOutAck(lateAck, lateAckedUpTo) :: true fi; lateAck = 0 }
  :: atomic { lateLease != 0 ->
     if
     :: alive && atFence(lateLease) -> fence = lateLease; longLease = (life > 0)
     :: true
     fi;
     lateLease = 0 }
  :: atomic { lateNotice -> lateNotice = false;
#ifdef NOTICE_ENDS_PRESENT_LIFE
     snapshot = false;
     if :: task == here -> task = free :: else fi
#else
     noticed = true
#endif
     }
  // A noticed life ends once its address refuses connections.
  :: atomic { noticed -> noticed = false;
     if
     :: !alive && life == known && !cut ->
        snapshot = false;
        if :: task == here -> if :: lateStart == 0 -> task = free :: else -> task = held fi :: else fi
     :: else
     fi }

  // The worker.
  :: atomic { runs -> runs = false; ended = true; ends++ }
  :: atomic { alive && life < MAXLIFE && !settled -> alive = false; endRuns() }
  :: atomic { alive && life < MAXLIFE && !settled && !lateNotice -> alive = false; endRuns(); lateNotice = true }
  :: atomic { !alive && life < MAXLIFE ->
     life++; alive = true; fence = 0; ends = 0; knowsRun = false; longLease = false }

  // The agent polls: it sees the end, acknowledges ends and renews the lease.
  :: atomic { snapshot && reachable && ended && atFence(agentFence) ->
     fence = agentFence; acked = ends; task = done }
  :: atomic { snapshot && life == known && acked > 0 && MAY_ACK && (reachable || lateAck == 0) ->
     if
     :: reachable -> carryOutAck(agentFence, acked)
     :: lateAck == 0 -> lateAck = agentFence; lateAckedUpTo = acked
     fi }
  :: atomic { snapshot && life == known && lateLease == 0 -> lateLease = agentFence }

  // Another life sends a heartbeat.
  :: atomic { alive && !cut && life > known && agentFence < MAXFENCE ->
     known = life; snapshot = false; acked = 0;
#ifndef SAME_FENCE_FOR_NEXT_LIFE
     agentFence++;
#endif
#ifdef FREE_BEFORE_SNAPSHOT
     if :: task == here -> task = free :: else fi
#endif
     }
  // Its first answer under the agent's fence.
  :: atomic { !snapshot && reachable && atFence(agentFence) ->
     fence = agentFence; snapshot = true; noticed = false;
     if
     :: ended -> task = done
     :: !ended && runs && task != done && task != elsewhere -> task = here
     :: !ended && !runs && (task == here || task == held) -> assert(!forgotten); task = free; settled = (lateStart != 0)
     :: else
     fi }

  // The worker is cut off, or silent as it's dead, until the agent's account of its lease is over.
  :: atomic { alive && snapshot && !cut -> cut = true }
  :: atomic { snapshot && life == known && (cut || !alive) && agentFence < MAXFENCE ->
     snapshot = false; agentFence++;
#ifdef SHORT_LEASE_AFTER_RESTART
     if :: !longLease -> runs = false :: else fi;
#else
     runs = false;
#endif
     if
     :: task == here && HOLDS -> task = held
     :: task == here && !HOLDS -> task = free
     :: else
     fi }
  :: atomic { cut && !snapshot -> cut = false }
  // A call that can't be carried out any more holds the task no longer.
  :: atomic { task == held && lateStart == 0 && !(alive && runs) && !ended -> task = free }
  od
}
