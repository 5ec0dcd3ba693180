/* An outage of the store, and a leader that is cut off in it; see docs/design/outage.md.
 *
 * Leader 0 is cut off with host H, at any time and again, and never learns of a later term but by a
 * session in it. Processes 0 and 1 outside may lead next, one after the other; process 0 may restart.
 * Task Y runs on H, and the next leader starts it elsewhere once its wait is over. Task X runs on host K
 * outside (only with LOST_HOST), which the next leader takes over, and leader 0 starts it on H once it takes
 * K's lease for ended. The store answers whom it likes. Messages are lost, or echoed late. Time is whole ticks without drift.
 */
// expect: pass
// expect: pass -DLOST_HOST
// expect-violation: -DLOST_HOST -DFREE_BY_CONTACT
// expect-violation: -DNO_NOTICE_WAIT
// expect-violation: -DNO_ECHO
// expect-violation: -DNO_SILENCE_BOUND
// expect-violation: -DNO_MEMBERSHIP_TTL
// expect-violation: -DNO_RESTART_WAIT
// expect-violation: -DNO_RENEWAL_BOUND
// expect-violation: -DNO_EARLIER_LEASES
// expect-violation: -DHELLO_ENDS_WAIT
// expect-violation: -DFORGET_ENDED
#define TTL 1		/* of the leader's lease in the store */
#define LEASE 2		/* of a host */
#define SILENCE 1	/* of a member without notice */
#define MEMBER 2	/* how long a member that isn't answered stays one */
#define RENEW 3		/* how long a leader renews leases without the store */
#define BRIEF (LEASE + SILENCE)
#define LONG (RENEW - TTL + LEASE)
#define OUTAGE 2	/* the store answers leader 0 until then at most */
#define END 7
#define NONE 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte now, phase;		/* what happens in a tick has an order */
bool cut;			/* leader 0 is cut off from all but H */
byte cuts; bool restarted;
/* leader 0: the store's last answer; of each member: answered, the stamp that it echoed last */
bool over; byte contact;
bool member[3]; byte answered[3], echoed[3];	/* the last one is the earlier life of process 0 */
/* processes: epoch of the leader whose answer they have (0 none, 1 leader 0, 2 the next), when they got it, */
/* the notice: until when leader 0 may renew; until when leases of earlier terms last */
byte pEpoch[2], pAnswered[2], pRenew[2], pEarlier[2];
/* the next leader; until when it waits, by cause; whether leader 0 sent a hello to it before its term */
byte next = NONE, terms, waitPrevious, waitEarlier;
bool helloUnderWay;
/* hosts: when their leases end, and leader 0's reckoning for K */
#ifdef LOST_HOST
byte kEnd = LEASE, kReckoned = LEASE;
#else
byte hEnd = LEASE;
#endif

#define VALID (now - contact < TTL)
#define NOTIFIED(p) (echoed[p] > contact)
#ifdef NO_MEMBERSHIP_TTL
#define IS_MEMBER(p) (pEpoch[p] == terms + 1)
#else
#define IS_MEMBER(p) (pEpoch[p] == terms + 1 && now - pAnswered[p] <= MEMBER)
#endif
#ifdef NO_SILENCE_BOUND
#define PERMITS(p) true
#else
#define PERMITS(p) (!member[p] || NOTIFIED(p) || answered[p] + MEMBER < contact + TTL || now - echoed[p] <= SILENCE)
#endif
#ifdef NO_RENEWAL_BOUND
#define BOUND true
#else
#define BOUND (now - contact <= RENEW)
#endif
#define MAY_RENEW (VALID || (BOUND && PERMITS(0) && PERMITS(1) && PERMITS(2)))
#ifdef FREE_BY_CONTACT
#define MAY_FREE MAY_RENEW
#else
#define MAY_FREE VALID
#endif
#define WAIT_END MAX(waitPrevious, waitEarlier)

/* answer: leader 0 answers a ping of p, which gets the answer or doesn't */
inline answer(p) {
	member[p] = true; answered[p] = now;
#ifdef NO_ECHO
	echoed[p] = now;
#endif
	if
	:: pEpoch[p] = 1; pAnswered[p] = now; pEarlier[p] = 0; pRenew[p] = (now > contact -> contact + RENEW : 0)
	:: skip
	fi
}

/* lead: p begins a term */
inline lead(p) {
	if
	:: IS_MEMBER(p) ->
		waitPrevious = now + BRIEF;
#ifndef NO_NOTICE_WAIT
		if :: pRenew[p] -> waitPrevious = MAX(waitPrevious, pRenew[p] + LEASE) :: else fi
#endif
	:: else ->
#ifdef NO_RESTART_WAIT
		waitPrevious = now + BRIEF
#else
		waitPrevious = now + LONG
#endif
	fi;
#ifndef NO_EARLIER_LEASES
	waitEarlier = (pEpoch[p] == terms + 1 -> pEarlier[p] : now + LONG);
#endif
	next = p; terms++; pEpoch[p] = 2
}

/* restart: process 0 starts again and knows nothing */
inline restart() {
	restarted = true; pEpoch[0] = 0; pAnswered[0] = 0; pRenew[0] = 0; pEarlier[0] = 0;
	if
#ifdef FORGET_ENDED
	:: true -> skip
#else
	:: !VALID -> member[2] = member[0]; answered[2] = answered[0]; echoed[2] = echoed[0]
	:: else
#endif
	fi;
	member[0] = false; answered[0] = 0; echoed[0] = 0
}

active proctype main() {
	do
	:: now < END ->
		atomic {
		if
		/* the world */
		:: phase <= 0 && cuts < 3 -> phase = 0; cut = !cut; cuts++
#ifndef LOST_HOST
		:: phase <= 0 && !restarted && next != 0 -> phase = 0; restart()
#endif
		/* leader 0 and the store; its lease is renewed, or acquired again under its epoch */
		:: phase <= 1 && !over && !cut && terms == 0 && now <= OUTAGE && contact < now -> phase = 1; contact = now
		/* leader 0 and its members */
		:: phase <= 2 && !over && !cut && MAY_RENEW && pEpoch[0] < 2 && (pEpoch[0] == 0 || pAnswered[0] < now) -> phase = 2; answer(0)
		:: phase <= 2 && !over && !cut && MAY_RENEW && pEpoch[1] < 2 && (pEpoch[1] == 0 || pAnswered[1] < now) -> phase = 2; answer(1)
		:: phase <= 3 && !over && !cut && member[0] && pEpoch[0] == 1 && pAnswered[0] > echoed[0] -> phase = 3; echoed[0] = pAnswered[0]
		:: phase <= 3 && !over && !cut && member[1] && pEpoch[1] == 1 && pAnswered[1] > echoed[1] -> phase = 3; echoed[1] = pAnswered[1]
		/* leader 0 and the hosts */
#ifdef LOST_HOST
		:: phase <= 4 && !over && !cut && MAY_RENEW && terms == 0 && now < kEnd && kEnd < now + LEASE -> phase = 4; kEnd = now + LEASE; kReckoned = now + LEASE
		:: phase <= 4 && terms >= 1 && now < kEnd && kEnd < now + LEASE -> phase = 4; kEnd = now + LEASE	/* by the next leader */
		:: !over && now >= kReckoned && MAY_FREE ->
			assert(now >= kEnd);		/* X doesn't run on K */
			now = END
#else
		:: phase <= 4 && !over && MAY_RENEW && now < hEnd && hEnd < now + LEASE -> phase = 4; hEnd = now + LEASE
#endif
		/* the next leader */
		:: phase <= 5 && now - contact >= TTL && terms == 0 -> phase = 5; lead(0)
		:: phase <= 5 && now - contact >= TTL && terms == 0 -> phase = 5; lead(1)
		:: phase <= 5 && terms == 1 && next == 0 -> phase = 5; lead(1)
		:: phase <= 5 && terms >= 1 && !cut && !over -> phase = 5; over = true;	/* leader 0 opens a session */
			waitPrevious = (waitPrevious < now + LEASE -> waitPrevious : now + LEASE)
#ifdef HELLO_ENDS_WAIT
		:: phase <= 5 && terms == 0 && !cut && !helloUnderWay -> phase = 5; helloUnderWay = true
		:: phase <= 5 && terms >= 1 && helloUnderWay -> phase = 5; helloUnderWay = false;
			waitPrevious = (waitPrevious < now + LEASE -> waitPrevious : now + LEASE)
#endif
		:: phase <= 5 && terms == 1 && next == 0 -> phase = 5; pEpoch[1] = 2; pAnswered[1] = now; pRenew[1] = 0; pEarlier[1] = WAIT_END
#ifndef LOST_HOST
		:: terms >= 1 && now >= WAIT_END ->
			assert(now >= hEnd);		/* Y doesn't run on H */
			now = END
#endif
		:: now++; phase = 0
		fi
		}
	:: else -> break
	od
}
