// One job, its cancellation, and changes of the store without an answer, which are carried out late or never. Two entries,
// of which any may start anew, and schedulers that take over. Safety: nothing starts after the cancelling was acknowledged, what is
// answered as accepted was stored, what is answered as absent never is, and no cancellation stays behind its job. Each variant leaves out one guard of
// docs/design/cancellation.md.
// expect: pass
// expect-violation: -DREAD_PROVES_ABSENCE
// expect-violation: -DMEMORY_PROVES_ABSENCE
// expect-violation: -DFENCE_IN_MEMORY
// expect-violation: -DUNFENCED_CREATION
// expect-violation: -DCONFLICT_IS_ACCEPTED
// expect-violation: -DUNCONDITIONAL_CANCELLATION
// expect-violation: -DFENCE_REMOVED_EARLY

// The store: whether the job and its cancellation are there, whether the job has ended, and whether it was ever there.
bool job, cancellation, ended, stored;

// Changes without an answer.
byte lateCreations;
bool lateCancellation;

// What was answered, and how many submissions and cancels are left.
bool acked, toldAbsent;
byte submissions = 3, cancels = 2;

// What the entry that submits remembers of its changes, and the scheduler of cancellations.
bool remembersCreation, remembersCancellation;
bool running;

#ifdef UNFENCED_CREATION
#define MAY_CREATE (!job)
#else
#define MAY_CREATE (!job && !cancellation)
#endif

inline create() {
  if
  :: MAY_CREATE -> assert(!toldAbsent); job = true; stored = true; ended = false
  :: else
  fi
}

inline fence() {
#ifdef FENCE_IN_MEMORY
  remembersCancellation = true; acked = true; toldAbsent = true
#else
  // The condition of the change is that neither is stored.
  if
  :: !job && !cancellation -> cancellation = true; acked = true; toldAbsent = true
  :: !job && cancellation -> acked = true; toldAbsent = true
  :: else
  fi
#endif
}

active proctype system() {
end:
  do
  // A submission, also a repeated one that comes after the cancel.
  :: atomic { submissions > 0 -> submissions--;
     if
     :: MAY_CREATE -> create()
     :: !(MAY_CREATE) ->
#ifdef CONFLICT_IS_ACCEPTED
        assert(stored)
#else
        // Only a conflict with the job is answered as accepted.
        if :: job -> assert(stored) :: else fi
#endif
     :: lateCreations++; remembersCreation = true
     fi }
  :: atomic { lateCreations > 0 -> lateCreations--; if :: create() :: true fi }

  // A cancel: it reads the job, and then changes the store.
  :: atomic { cancels > 0 && job -> cancels--;
     if
     :: cancellation = true; acked = true
     :: lateCancellation = true
     fi }
  :: atomic { cancels > 0 && !job -> cancels--;
#ifdef READ_PROVES_ABSENCE
     acked = true; toldAbsent = true
#else
#ifdef MEMORY_PROVES_ABSENCE
     if :: remembersCreation -> fence() :: else -> acked = true; toldAbsent = true fi
#else
     fence()
#endif
#endif
     }
  :: atomic { lateCancellation -> lateCancellation = false;
     if
#ifdef UNCONDITIONAL_CANCELLATION
     :: cancellation = true; assert(job)
#else
     :: job -> cancellation = true
#endif
     :: true
     fi }

  // The entry that submitted starts anew, and a scheduler takes over.
  :: atomic { remembersCreation -> remembersCreation = false }
  :: atomic { remembersCancellation -> remembersCancellation = false }

  // The scheduler.
  :: atomic { job && !cancellation && !remembersCancellation && !ended && !running ->
     assert(!acked); running = true }
  :: atomic { running -> running = false; ended = true }
  :: atomic { job && cancellation && !running -> ended = true }

  // Records are kept for longer than a change may be late. The cancellation of the job may still be under way.
  :: atomic { job && ended && lateCreations == 0 -> job = false; cancellation = false; ended = false; submissions = 0 }
#ifdef FENCE_REMOVED_EARLY
  :: atomic { !job && cancellation -> cancellation = false }
#else
  :: atomic { !job && cancellation && lateCreations == 0 -> cancellation = false; submissions = 0 }
#endif
  od
}
