/*
 * Forward and revocation: one request of class once, sent by an entry to an exit
 * in up to ATTEMPTS attempts.
 *
 * Modelled: sessions that the entry gives up and reopens, forwards doubled, lost
 * (a frame that is never taken), late and reordered, an exit that is paused,
 * restarts and forgets, refuses, runs and finishes, revocations over the same or
 * a later session, verdicts that come late, an exit's memory that ends.
 * Promises: the request runs at most once; a caller told "notrun" has a request
 * that never ran nor will; nothing sent before a pause of the exit starts after
 * it; nothing starts once its deadline has passed.
 *
 * Abstracted: time. "expired" (the deadline passed) and "aged" (the entry's trust
 * in a verdict ended) are facts that become true at any moment. The exit forgets
 * an ended forward, and the transport drops the last copies of a forward, only
 * once it has aged: Params.Retain is above TrackerParams.Trust. Bounds on pending
 * forwards and on fences are left out; core/crforward's tests cover them. Retries
 * go to the same exit, which is the harder case.
 */
#define ATTEMPTS 2
#define SESSIONS 3
#define COPIES 2

/* a forward at the exit */
#define NONE 0
#define PENDING 1
#define RUNNING 2
#define FINISHED 3
#define REFUSED 4
#define FENCED 5

#define TOLD_NOTRUN 1
#define TOLD_UNKNOWN 2

byte ran;                /* at the upstream */
byte told;               /* to the caller */
byte sent;               /* attempts begun */
byte session;            /* the entry's newest session */
bit proof[ATTEMPTS];     /* the entry holds a proof that the attempt never runs */
byte over[ATTEMPTS];     /* the session an attempt was sent over */
byte copies[ATTEMPTS];   /* forwards on the link */
bit asked[ATTEMPTS];     /* a revocation is on the link */
byte askedOver[ATTEMPTS];
bit refusal[ATTEMPTS];   /* a refusal that proves is on the link */
bit fencedWord[ATTEMPTS];/* a verdict "fenced" is on the link */
byte at[ATTEMPTS];       /* the forward's state at the exit */
bit dead[SESSIONS];      /* the exit has restarted since */
bit stale[SESSIONS];     /* the exit was paused since */
bit expired[ATTEMPTS];
bit seen[ATTEMPTS];      /* expired, as read at the arrival */
bit aged[ATTEMPTS];
bit slept[ATTEMPTS];     /* a pause came after the sending */

/* an answer goes on the link, unless nobody waits for it */
inline answer(word, a) {
	if
	:: told == 0 && !proof[a] -> word = 1
	:: else
	fi
}

inline refuse(a) {
	seen[a] = 0;
	answer(refusal[a], a);
#ifdef NO_KEPT_REFUSAL
	at[a] = NONE
#else
	at[a] = REFUSED
#endif
}

inline arrive(a) {
	copies[a]--;
	if
	:: at[a] == NONE -> at[a] = PENDING; seen[a] = expired[a]
	:: at[a] == REFUSED || at[a] == FENCED -> answer(refusal[a], a)
	:: at[a] == PENDING || at[a] == RUNNING || at[a] == FINISHED ->
#ifdef NO_DEDUP
		at[a] = PENDING
#else
#ifdef DUPLICATE_PROVES
		answer(refusal[a], a)
#else
		skip
#endif
#endif
	fi
}

inline start(a) {
	if
#ifndef NO_PAUSE
	:: stale[over[a]] -> refuse(a)
#endif
#ifdef NO_REREAD
	:: seen[a] -> refuse(a)
#else
	:: expired[a] -> refuse(a)
#endif
	:: else ->
		at[a] = RUNNING;
		ran++;
#ifdef WITNESS
		assert(a == 0); /* a second attempt can run */
#endif
		assert(ran <= 1);
		assert(told != TOLD_NOTRUN);
		assert(!slept[a]);
		assert(!expired[a]);
		seen[a] = 0
	fi
}

inline revoke(a) {
	asked[a] = 0;
	if
#ifndef NO_SESSION
	:: askedOver[a] != over[a] -> skip /* "unknown" */
#endif
	:: else ->
		if
		:: at[a] == RUNNING || at[a] == FINISHED -> skip /* "started" */
		:: at[a] == REFUSED || at[a] == FENCED -> answer(fencedWord[a], a)
		:: at[a] == NONE || at[a] == PENDING ->
			answer(fencedWord[a], a);
#ifndef NO_FENCE
			at[a] = FENCED
#endif
		fi
	fi
}

inline forgetAll(a) {
	at[a] = NONE;
	seen[a] = 0;
	copies[a] = 0 /* a frame of a dead session reaches nobody */
}

inline restart() {
	forgetAll(0);
	forgetAll(1);
	dead[0] = 1;
	if
	:: session >= 1 -> dead[1] = 1
	:: else
	fi;
	session++
}

inline pause() {
	byte s = 0;
	do
	:: s <= session -> stale[s] = 1; s++
	:: else -> break
	od;
	s = 0;
	do
	:: s < sent -> slept[s] = 1; s++
	:: else -> break
	od;
	s = 0
}

#ifdef NO_PROOF
#define MAY_RETRY 1
#else
#define MAY_RETRY (sent == 0 || proof[0])
#endif
#define ALL_PROVED ((sent < 1 || proof[0]) && (sent < 2 || proof[1]))

inline send() {
	over[sent] = session;
	copies[sent] = 1;
	sent++
}

inline tell() {
	if
	:: ALL_PROVED -> told = TOLD_NOTRUN; assert(ran == 0)
	:: else -> told = TOLD_UNKNOWN
	fi;
	settle(0);
	settle(1)
}

/* what the entry does not look at any more is alike */
inline settle(a) {
	asked[a] = 0;
	askedOver[a] = 0;
	refusal[a] = 0;
	fencedWord[a] = 0
}

inline prove(a) {
	proof[a] = 1;
	settle(a)
}

/* what happens to one attempt */
#define STEPS(a) \
	:: atomic { a < sent && copies[a] > 0 && copies[a] < COPIES -> copies[a]++ } \
	:: atomic { a < sent && copies[a] > 0 && !dead[over[a]] -> arrive(a) } \
	:: atomic { at[a] == PENDING -> start(a) } \
	:: atomic { at[a] == PENDING -> refuse(a) } \
	:: atomic { at[a] == RUNNING -> at[a] = FINISHED } \
	:: atomic { aged[a] && (at[a] == FINISHED || at[a] == REFUSED) -> at[a] = NONE } \
	:: atomic { !expired[a] && (copies[a] > 0 || at[a] == PENDING) -> expired[a] = 1 } \
	:: atomic { a < sent && !aged[a] -> aged[a] = 1; copies[a] = 0 } \
	:: atomic { a < sent && !asked[a] && !proof[a] && told == 0 && !dead[session] -> asked[a] = 1; askedOver[a] = session } \
	:: atomic { asked[a] && !dead[askedOver[a]] -> revoke(a) } \
	:: atomic { refusal[a] -> prove(a) } \
	:: atomic { fencedWord[a] && TRUSTED(a) -> prove(a) }

#ifdef NO_TRUST
#define TRUSTED(a) 1
#else
#define TRUSTED(a) (!aged[a])
#endif

active proctype system() {
end:
	do
	:: atomic { told == 0 && sent < ATTEMPTS && MAY_RETRY -> send() }
	:: atomic { told == 0 && sent > 0 -> tell() }
	:: atomic { told == 0 && session + 1 < SESSIONS -> session++ }
	:: atomic { session + 1 < SESSIONS && !dead[session] -> restart() }
	:: atomic { sent > 0 && !stale[session] -> pause() }
	STEPS(0)
	STEPS(1)
	od
}
