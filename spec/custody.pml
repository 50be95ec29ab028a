/*
 * Custody of tokens: the owner of one share of an account's limit, and two entry
 * daemons that spend the tokens which the owner grants them.
 *
 * Modelled: an entry sends a token request. The owner subtracts the tokens from
 * its balance before it sends a grant, and counts them as outstanding until the
 * entry can no longer spend them. A grant expires LIFETIME ticks after the sending
 * of its request, on the entry's clock, which may be a tick slow. Requests and
 * grants are lost, duplicated and delayed. Owner and entries are paused (ticks
 * pass without a step of theirs), and restart without tokens.
 * Property: in every window, all admitted requests conform to one token bucket of
 * BURST tokens that gains a token in each tick. "bucket" is its level; no part of
 * the system reads it.
 *
 * Abstracted: time is in ticks. All ages saturate, so that the state space is
 * finite. A grant moves the whole balance of the owner. An entry holds the tokens
 * of one grant. One grant to an entry may be in transit, in any number of copies; a
 * later one overwrites it. handover.pml models a change of owner.
 */
#ifndef BURST
#define BURST 2
#endif
#ifndef LIFETIME
#define LIFETIME 2
#endif
#define ENTRIES 2
#define GRANTS 2 /* one for each entry */

/* ticks until the owner counts a grant as expired */
#ifdef NO_MARGIN
#define OWNER_LIFETIME LIFETIME
#else
#define OWNER_LIFETIME (LIFETIME + 1)
#endif

byte bucket = BURST;                  /* the level that the property allows */
byte balance = BURST;                 /* at the owner */
byte outstanding[OWNER_LIFETIME + 1]; /* tokens that become room in so many ticks */
byte takeoverDelay;                   /* ticks until a restarted owner may refill */

bit requested[ENTRIES];  /* a request is in transit, possibly a duplicate */
byte requestAge[ENTRIES];
bit requestOld[ENTRIES]; /* an earlier incarnation of the entry sent it */
byte held[ENTRIES];      /* tokens at the entry */
byte heldAge[ENTRIES];

byte grant[GRANTS];    /* tokens of a grant in transit */
byte grantAge[GRANTS]; /* since the sending of its request */
bit received[GRANTS];  /* the entry has received a copy of it */
bit grantOld[GRANTS];  /* an earlier incarnation of the entry requested it */
byte i;

inline refill() {
	byte sum = 0;
	i = 0;
	do
	:: i <= OWNER_LIFETIME -> sum = sum + outstanding[i]; i++
	:: else -> break
	od;
#ifdef NO_RESERVE
	sum = 0;
#endif
	if
	:: takeoverDelay == 0 && balance + sum < BURST -> balance++
	:: else
	fi;
	sum = 0;
	i = 0
}

/* the owner's clock */
inline ownerTick() {
	outstanding[0] = 0;
	i = 0;
	do
	:: i < OWNER_LIFETIME -> outstanding[i] = outstanding[i + 1]; i++
	:: else -> break
	od;
	outstanding[OWNER_LIFETIME] = 0;
	outstanding[0] = 0;
	i = 0;
	if
	:: takeoverDelay > 0 -> takeoverDelay--
	:: else
	fi
}

inline incrementAge(age) {
	if
	:: age < LIFETIME -> age++
	:: else
	fi
}

/* An entry's clock advances, or lags by one tick, at most once in the life of the
 * tokens whose age it measures. */
inline entryTick(e) {
	if
	:: 1 ->
		incrementAge(requestAge[e]);
		incrementAge(heldAge[e]);
		incrementAge(grantAge[e])
	:: !lagged[e] -> lagged[e] = 1
	fi
}
bit lagged[ENTRIES];

inline tick() {
	if
	:: bucket < BURST -> bucket++
	:: else
	fi;
	ownerTick();
	if
	:: refill()
	:: 1 -> i = 0 /* the owner is paused */
	fi;
	entryTick(0);
	entryTick(1);
	dropExpired(0);
	dropExpired(1)
}

/* Tokens that nobody can use any more are cleared, which reduces the state space. */
inline clearGrant(g) {
	grant[g] = 0;
	grantAge[g] = 0;
	received[g] = 0;
	grantOld[g] = 0
}

#if defined(NO_EXPIRY) || defined(EXPIRY_FROM_ARRIVAL)
#define ACCEPTED(age) 1
#define SPENDABLE(age) LATE_SPEND(age)
#else
#define ACCEPTED(age) (age < LIFETIME)
#define SPENDABLE(age) (age < LIFETIME)
#endif
#ifdef NO_EXPIRY
#define LATE_SPEND(age) 1
#else
#define LATE_SPEND(age) (age < LIFETIME)
#endif
#ifdef NO_DEDUP
#define FIRST_COPY(g) 1
#else
#define FIRST_COPY(g) (!received[g])
#endif
#ifdef NO_INCARNATION
#define SAME_INCARNATION(g) 1
#else
#define SAME_INCARNATION(g) (!grantOld[g])
#endif

inline dropExpired(e) {
	if
	:: held[e] > 0 && !SPENDABLE(heldAge[e]) -> held[e] = 0
	:: else
	fi;
	if
	:: held[e] == 0 -> heldAge[e] = 0
	:: else
	fi;
	if
	:: !ACCEPTED(grantAge[e]) -> clearGrant(e)
	:: else
	fi
}

inline sendRequest(e) {
	requested[e] = 1;
	requestAge[e] = 0;
	requestOld[e] = 0;
	/* the clock may lag again only when it measures no older tokens */
	if
	:: held[e] == 0 && grant[e] == 0 -> lagged[e] = 0
	:: else
	fi
}

inline sendGrant(e, g) {
	grant[g] = balance;
	grantAge[g] = requestAge[e];
	grantOld[g] = requestOld[e];
	received[g] = 0;
	outstanding[OWNER_LIFETIME] = outstanding[OWNER_LIFETIME] + balance;
#ifndef NO_SUBTRACT
	balance = 0
#endif
}

inline receiveGrant(e, g) {
	held[e] = grant[g];
	heldAge[e] = grantAge[g];
#ifdef EXPIRY_FROM_ARRIVAL
	heldAge[e] = 0;
#endif
	received[g] = 1
}

inline spend(e) {
	assert(bucket > 0); /* fails if more than burst + rate * window is admitted */
#ifdef WITNESS
	assert(bucket > 1); /* fails if the whole burst can be spent */
#endif
	bucket--;
	held[e]--;
	if
	:: held[e] == 0 -> heldAge[e] = 0
	:: else
	fi
}

inline restartEntry(e) {
	held[e] = 0;
	heldAge[e] = 0;
	requestOld[e] = requested[e];
	grantOld[e] = (grant[e] > 0);
	received[e] = 0 /* lost with the memory of the process */
}

inline restartOwner() {
	balance = 0;
	i = 0;
	do
	:: i <= OWNER_LIFETIME -> outstanding[i] = 0; i++
	:: else -> break
	od;
	i = 0;
#ifndef NO_TAKEOVER_DELAY
	takeoverDelay = OWNER_LIFETIME
#endif
}

#define STEPS(e) \
	:: atomic { held[e] == 0 -> sendRequest(e) } \
	:: atomic { requested[e] -> requested[e] = 0; requestAge[e] = 0; requestOld[e] = 0 } \
	:: atomic { held[e] > 0 && SPENDABLE(heldAge[e]) -> spend(e) } \
	:: atomic { restartEntry(e) } \
	:: atomic { held[e] == 0 && grant[e] > 0 && FIRST_COPY(e) && SAME_INCARNATION(e) && ACCEPTED(grantAge[e]) -> receiveGrant(e, e) } \
	:: atomic { requested[e] && balance > 0 -> sendGrant(e, e) } \
	:: atomic { grant[e] > 0 -> clearGrant(e) }

active proctype system() {
end:
	do
	:: atomic { tick() }
	:: atomic { restartOwner() }
	STEPS(0)
	STEPS(1)
	od
}
