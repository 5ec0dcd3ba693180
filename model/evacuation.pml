/* An evacuation beside a change of scheduler; see docs/design/evacuation.md.
 *
 * The store holds the request. Scheduler 0 reads it at least every VIEW ticks while it
 * reaches the store, and schedules on for RIDE ticks without it. Scheduler 1 begins a term
 * once the lease of scheduler 0 has ended, takes READ ticks to load its state, and reads
 * the request before its first start. A host follows the highest epoch that it knows, and
 * carries out an order at most ORDER ticks after it was sent. Host 1 may be cut off with
 * scheduler 0 and learn of no other. Time is whole ticks. The request is acknowledged at
 * any time, or never, and may be removed.
 */
// expect: pass
// expect-violation: -DNO_CHECK
// expect-violation: -DNO_REREAD
// expect-violation: -DNO_READ_FIRST
// expect-violation: -DREAD_EARLY
// expect-violation: -DNO_RIDE_BOUND
// expect-violation: -DNO_EXPIRY
// expect-violation: -DNO_FENCE
#define VIEW 1		/* the read of each second, with its duration */
#define ORDER 1		/* 4 attempts of 0.46 s */
#define LEASE 1
#define RIDE 4
#define READ 2
#define END 10
#define NEVER 99

byte now;
bool inStore;			/* the request */
byte acked = NEVER;		/* when the store acknowledged it */
bool ended;			/* whether it was removed since */
byte epoch = 1;			/* in the store */
byte leaseEnd = LEASE;		/* of scheduler 0 in the store */
bool cut;			/* scheduler 0 lost the store */
bool up[2], loading; byte loadedAt;
/* schedulers: whether they know of the request, when they last read, when the store last answered */
bool view[2]; byte readAt[2], contact[2];
/* hosts: the highest epoch that they know */
byte hEpoch[2];
/* one order under way from each scheduler to each host, and when it was sent */
bool order[4]; byte sentAt[4];
#define SLOT(s, h) ((s) * 2 + (h))

#ifdef NO_CHECK
#define MAY_START(s) true
#else
#define MAY_START(s) (!view[s])
#endif
#ifdef NO_RIDE_BOUND
#define RIDES(s) true
#else
#define RIDES(s) (now - contact[s] <= RIDE)
#endif
#ifdef NO_REREAD
#define STALE(s) false
#else
#define STALE(s) (now - readAt[s] > VIEW)
#endif
#ifdef NO_EXPIRY
#define LIVE(i) true
#else
#define LIVE(i) (now - sentAt[i] <= ORDER)
#endif
#ifdef NO_FENCE
#define FOLLOWS(h, s) true
#else
#define FOLLOWS(h, s) (hEpoch[h] <= (s) + 1)
#endif
/* The bound; it's longer where some processes don't reach the store. */
#define BOUND (cut -> RIDE + VIEW + ORDER : VIEW + ORDER)

inline readRequest(s) { view[s] = inStore; readAt[s] = now }
inline drop(i) { order[i] = false; sentAt[i] = 0 }
inline send(s, h) { order[SLOT(s, h)] = true; sentAt[SLOT(s, h)] = now }
inline greet(h) { hEpoch[h] = 2 }

inline carryOut(s, h) {
	if
	:: LIVE(SLOT(s, h)) && FOLLOWS(h, s) ->
		assert(acked == NEVER || ended || now <= acked + BOUND);	/* the rule */
		assert(hEpoch[h] <= s + 1);	/* no start of a scheduler that was replaced */
		hEpoch[h] = s + 1
	:: else
	fi;
	drop(SLOT(s, h))
}

/* tick: a scheduler in contact with the store renews its lease, and reads the request if its view is too old. */
inline tick() {
	now++;
	if :: up[0] && !cut -> contact[0] = now; leaseEnd = now + LEASE;
		if :: STALE(0) -> readRequest(0) :: else fi
	   :: else
	fi;
	if :: up[1] && !loading -> contact[1] = now;
		if :: STALE(1) -> readRequest(1) :: else fi
	   :: else
	fi;
	/* orders that their hosts gave up are forgotten */
	if :: order[0] && !LIVE(0) -> drop(0) :: else fi;
	if :: order[1] && !LIVE(1) -> drop(1) :: else fi;
	if :: order[2] && !LIVE(2) -> drop(2) :: else fi
}

inline takeOver() {
	epoch = 2; up[1] = true; loading = true; loadedAt = now + READ;
#ifdef READ_EARLY
	readRequest(1)
#endif
}
inline load() {
	loading = false; contact[1] = now;
#ifdef NO_READ_FIRST
	readAt[1] = now
#else
#ifndef READ_EARLY
	readRequest(1)
#endif
#endif
}

active proctype world() {
	byte h;
	up[0] = true;
	do
	:: atomic { now < END -> tick() }
	:: now >= END -> break
	/* the operator */
	:: atomic { !inStore && acked == NEVER -> inStore = true; acked = now }
	:: atomic { inStore -> inStore = false; ended = true }
	/* faults: scheduler 0 is killed, or loses the store */
	:: atomic { up[0] -> up[0] = false }
	:: atomic { !cut -> cut = true }
	/* a watch tells a scheduler of the request */
	:: atomic { up[0] && !cut -> readRequest(0) }
	:: atomic { up[1] && !loading -> readRequest(1) }
	/* the change of scheduler */
	:: atomic { epoch == 1 && now > leaseEnd -> takeOver() }
	:: atomic { loading && now >= loadedAt -> load() }
	:: atomic { up[1] && !loading && hEpoch[0] < 2 -> greet(0) }
	/* orders, and the hosts that carry them out */
	:: atomic { up[0] && RIDES(0) && MAY_START(0) ->
		select(h : 0 .. 1);
		if :: hEpoch[h] <= 1 && !order[SLOT(0, h)] -> send(0, h) :: else fi; h = 0 }
	:: atomic { up[1] && !loading && MAY_START(1) && !order[2] -> send(1, 0) }
	:: atomic { order[0] -> carryOut(0, 0) }
	:: atomic { order[1] -> carryOut(0, 1) }
	:: atomic { order[2] -> carryOut(1, 0) }
	od
}
