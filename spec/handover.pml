/*
 * Handover: which daemons hold a lease (and may refill and eject), and under which
 * list of members, while lists change faster than every member receives them.
 *
 * Five daemons and three lists of three: L0 = {a, b, x}, L1 = {a, b, y},
 * L2 = {a, b, z}; x is replaced by y, and y by z. A majority of L1, {a, y}, is
 * disjoint from a majority of L0, {b, x}. A daemon holds a lease under its list
 * while a majority of the list's members has acknowledged that very list within the
 * contact timeout. It gets one under a newer list only after a majority of every
 * older list since the last active one has moved on, and an expiry wait has passed
 * since. A restarted member reads a list that may be stale. It acknowledges no list
 * for a contact timeout, and then until both others of the list that it reads (a
 * majority of the others) have sent it theirs.
 *
 * Modelled: members receive lists in any order and late. Heartbeats are lost and
 * late. Members are paused (ticks pass without a step of theirs), and restart
 * RESTARTS times in all.
 * Property: no two daemons hold leases under different lists at one time.
 *
 * Abstracted: time is in ticks, and ages saturate at the contact timeout. A contact
 * counts from the sending of the heartbeat that was echoed. The heartbeat is sent
 * and echoed in one step, which makes a contact last longest and is the harder case.
 * Only x, y and z hold leases; a and b could do so on the same contacts. What z needs
 * to keep its lease is left out, which lets it keep the lease longer. The handover of
 * L0, or of L1, is found once, by any daemon, and is then known to all, since the
 * property requires only that such a finding is right. custody.pml models the drift
 * of clocks (NO_MARGIN).
 */
#ifndef TIMEOUT
#define TIMEOUT 1
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* members; z only holds a lease */
#define A 0
#define B 1
#define X 2
#define Y 3
#define MEMBERS 4

#define RECOVERED 0  /* acknowledges its list */
#define RECOVERING 1 /* restarted; has waited TIMEOUT, and recovers from the others */
#define WAITING 2    /* restarted; WAITING + n has n ticks more to wait */

byte list[MEMBERS];     /* the newest list that a member holds */
byte phase[MEMBERS];
byte contacts[MEMBERS]; /* while recovering: one bit for each other that was in contact */
bit restarted[MEMBERS]; /* has restarted at some time */
byte restarts = RESTARTS;

byte xContact[2] = TIMEOUT; /* ages of a's and b's acknowledgements of L0, at x */
byte yContact[2] = TIMEOUT; /* ages of a's and b's acknowledgements of L1, at y */
byte ack0[3] = TIMEOUT;     /* ages of a's, b's and x's acknowledgements of a list after L0 */
byte ack1[3] = TIMEOUT;     /* ages of a's, b's and y's acknowledgements of a list after L1 */
byte wait0 = TIMEOUT + 1;   /* ticks until L0 counts as handed over; TIMEOUT + 1: not found yet */
byte wait1 = TIMEOUT + 1;
byte i;
#ifdef CONTACT_FROM_ARRIVAL
bit late[2]; /* the echo of x's heartbeat is in transit */
#endif

#define ACKNOWLEDGES(m) (phase[m] == RECOVERED)
#define FRESH(age) (age < TIMEOUT)
#define X_HAS_LEASE (list[X] == 0 && ACKNOWLEDGES(X) && (FRESH(xContact[0]) || FRESH(xContact[1])))
#define Y_HAS_LEASE (list[Y] == 1 && ACKNOWLEDGES(Y) && wait0 == 0 && (FRESH(yContact[0]) || FRESH(yContact[1])))
#ifdef NO_INTERMEDIATE_LISTS
#define Z_HAS_LEASE (wait1 == 0)
#else
#define Z_HAS_LEASE (wait1 == 0 && wait0 == 0)
#endif

#ifdef NO_MAJORITY
#define HANDED_OVER(age) (FRESH(age[0]) || FRESH(age[1]) || FRESH(age[2]))
#else
#define HANDED_OVER(age) (FRESH(age[0]) + FRESH(age[1]) + FRESH(age[2]) >= 2)
#endif

#ifdef NO_EXPIRY_WAIT
#define EXPIRY_WAIT 0
#else
#define EXPIRY_WAIT TIMEOUT
#endif

#define INCREMENT_AGE(age) age = (age < TIMEOUT -> age + 1 : TIMEOUT)
#ifdef NO_ACK_TIMEOUT
#define INCREMENT_ACK_AGE(age) skip
#else
#define INCREMENT_ACK_AGE(age) INCREMENT_AGE(age)
#endif
#define COUNT_DOWN(n) n = (n > 0 && n <= TIMEOUT -> n - 1 : n)

inline tick() {
	i = 0;
	do
	:: i < 2 -> INCREMENT_AGE(xContact[i]); INCREMENT_AGE(yContact[i]); i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < 3 -> INCREMENT_ACK_AGE(ack0[i]); INCREMENT_ACK_AGE(ack1[i]); i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < MEMBERS -> phase[i] = (phase[i] >= WAITING -> phase[i] - 1 : phase[i]); i++
	:: else -> break
	od;
	i = 0;
	COUNT_DOWN(wait0);
	COUNT_DOWN(wait1)
}

#define EXPIRE(age) age[0] = TIMEOUT; age[1] = TIMEOUT

/* a daemon finds that an older list is handed over */
#define FIND_HANDOVER(wait, ack) \
	if \
	:: wait == TIMEOUT + 1 && HANDED_OVER(ack) -> wait = EXPIRY_WAIT; EXPIRE(ack); ack[2] = TIMEOUT \
	:: else \
	fi

inline checkLeases() {
	FIND_HANDOVER(wait0, ack0);
	FIND_HANDOVER(wait1, ack1);
	/* contacts under a list that its member has left are cleared */
	if
	:: list[X] != 0 -> EXPIRE(xContact)
	:: else
	fi;
	if
	:: list[Y] != 1 -> EXPIRE(yContact)
	:: else
	fi;
	assert(!(X_HAS_LEASE && Y_HAS_LEASE));
	assert(!(X_HAS_LEASE && Z_HAS_LEASE));
	assert(!(Y_HAS_LEASE && Z_HAS_LEASE));
#ifdef WITNESS
	assert(!(Z_HAS_LEASE && restarted[A] && restarted[B])) /* fails if a list can be handed over after restarts */
#endif
}

inline restart(m) {
	restarts--;
	restarted[m] = 1;
	contacts[m] = 0;
#ifdef NO_RECOVERY
	phase[m] = RECOVERED;
#else
#ifdef NO_RECOVERY_WAIT
	phase[m] = RECOVERING;
#else
	phase[m] = RECOVERING + TIMEOUT;
#endif
#endif
	/* it reads any published list that has it as a member, or the next list */
	if
	:: m != Y -> list[m] = 0
	:: list[m] = 1
	:: m != X -> list[m] = 2
	fi;
	if
	:: m == X -> EXPIRE(xContact)
	:: m == Y -> EXPIRE(yContact)
	:: else
	fi
}

/* the two other members of the list that m reads */
#define OTHER(m) (m == A -> B : A)
#define THIRD(m) (m == X || m == Y -> B : (list[m] == 0 -> X : Y))

#define LAST_LIST(m) (m == X -> 1 : 2)

/* A restarted member may have moved on, in an earlier incarnation, from lists that it
 * receives only now. So it recovers again under each list that it adopts. */
#ifdef NO_LIST_RECOVERY
#define STAYS_RECOVERED(m) 1
#define UP_TO_DATE(from, m) ACKNOWLEDGES(from)
#else
#define STAYS_RECOVERED(m) (!restarted[m])
#define UP_TO_DATE(from, m) (ACKNOWLEDGES(from) && (!restarted[from] || list[from] >= list[m]))
#endif

/* no list follows the last one, so its member need not recover from others */
inline endRecovery(m) {
	if
	:: phase[m] == RECOVERING && (contacts[m] == 3 || list[m] == 2) -> phase[m] = RECOVERED; contacts[m] = 0
	:: else
	fi
}

inline adopt(m, newer) {
	list[m] = newer;
	contacts[m] = 0;
	if
	:: phase[m] == RECOVERED && !STAYS_RECOVERED(m) -> phase[m] = RECOVERING
	:: else
	fi;
	endRecovery(m)
}

inline receiveHeartbeat(m, from, mask) {
	if
	:: list[from] > list[m] && list[m] < LAST_LIST(m) ->
		i = list[from];
		if
		:: i > LAST_LIST(m) -> i = LAST_LIST(m)
		:: else
		fi;
		adopt(m, i);
		i = 0
	:: else -> contacts[m] = contacts[m] | mask; endRecovery(m)
	fi
}

#define MEMBER(m) \
	:: list[m] < LAST_LIST(m) -> adopt(m, list[m] + 1) \
	:: restarts > 0 -> restart(m) \
	:: phase[m] == RECOVERING && list[m] == 2 -> endRecovery(m) \
	:: phase[m] == RECOVERING && UP_TO_DATE(OTHER(m), m) -> receiveHeartbeat(m, OTHER(m), 1) \
	:: phase[m] == RECOVERING && list[m] < 2 && UP_TO_DATE(THIRD(m), m) -> receiveHeartbeat(m, THIRD(m), 2)

/* contacts of a and b with x, with y, and with daemons that wait for a handover */
#ifdef CONTACT_FROM_ARRIVAL
#define CONTACT_X(v) \
	:: ACKNOWLEDGES(v) && list[v] == 0 && list[X] == 0 -> late[v] = 1 \
	:: late[v] && list[X] == 0 -> late[v] = 0; xContact[v] = 0
#else
#define CONTACT_X(v) \
	:: ACKNOWLEDGES(v) && list[v] == 0 && list[X] == 0 -> xContact[v] = 0
#endif

#define VOTER(v) \
	CONTACT_X(v) \
	:: ACKNOWLEDGES(v) && list[v] == 1 && list[Y] == 1 -> yContact[v] = 0 \
	:: ACKNOWLEDGES(v) && list[v] >= 1 && wait0 > TIMEOUT -> ack0[v] = 0 \
	:: ACKNOWLEDGES(v) && list[v] == 2 && wait1 > TIMEOUT -> ack1[v] = 0

active proctype system() {
	list[Y] = 1;
end:
	do
	:: atomic {
		if
		:: 1 -> tick()
		MEMBER(A)
		MEMBER(B)
		MEMBER(X)
		MEMBER(Y)
		VOTER(A)
		VOTER(B)
		:: ACKNOWLEDGES(X) && list[X] >= 1 && wait0 > TIMEOUT -> ack0[2] = 0
		:: ACKNOWLEDGES(Y) && list[Y] == 2 && wait1 > TIMEOUT -> ack1[2] = 0
		fi;
		checkLeases()
	}
	od
}
