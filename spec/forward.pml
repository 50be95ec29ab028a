/*
 * Forward and revocation: one request of class once, sent by an entry to an exit
 * in up to ATTEMPTS attempts.
 *
 * Modelled: sessions that the entry abandons and reopens; forwards that are
 * duplicated, lost (never received), delayed and reordered; an exit that is paused,
 * restarts without its state, refuses, runs and finishes forwards; revocations over
 * the same or a later session; results of revocations that come late; an exit that
 * evicts its records of ended forwards.
 * Properties: the request runs at most once. If the outcome for the caller is
 * "notrun", the request has not run and never will. Nothing sent before a pause of
 * the exit starts after it. Nothing starts once its deadline has passed.
 *
 * Abstracted: time. "expired" (the deadline has passed) and "windowEnded" (the
 * entry's revoke window has ended) may become true at any moment. The exit evicts
 * an ended forward, and the transport drops the last copies of a forward, only
 * after the end of the revoke window: LedgerParams.Retention is above
 * TrackerParams.RevokeWindow. The limits on pending forwards and on fences are left
 * out; the tests of core/crforward cover them. Retries go to the same exit, which
 * is the harder case.
 */
#define ATTEMPTS 2
#define SESSIONS 3
#define COPIES 2

/* states of a forward at the exit */
#define NONE 0
#define PENDING 1
#define RUNNING 2
#define FINISHED 3
#define REFUSED 4
#define FENCED 5

#define OUTCOME_NOTRUN 1
#define OUTCOME_UNKNOWN 2

byte ran;                       /* runs at the upstream */
byte outcome;                   /* reported to the caller; 0: none yet */
byte sent;                      /* attempts sent */
byte session;                   /* the entry's newest session */
bit proved[ATTEMPTS];           /* the entry knows that the attempt never runs */
byte sentOn[ATTEMPTS];          /* the session on which an attempt was sent */
byte copies[ATTEMPTS];          /* of a forward, in transit */
bit revoked[ATTEMPTS];          /* a revocation is in transit */
byte revokedOn[ATTEMPTS];
bit refusal[ATTEMPTS];          /* a refusal that proves "not run" is in transit */
bit fencedResult[ATTEMPTS];     /* a revoke result "fenced" is in transit */
byte state[ATTEMPTS];           /* of the forward at the exit */
bit ended[SESSIONS];            /* the exit has restarted since its opening */
bit stale[SESSIONS];            /* the exit was paused since its opening */
bit expired[ATTEMPTS];
bit expiredAtArrival[ATTEMPTS]; /* had expired on arrival */
bit windowEnded[ATTEMPTS];
bit pausedSince[ATTEMPTS];      /* the exit was paused after the sending */

/* puts a message in transit, unless the entry does not wait for it */
inline respond(message, a) {
	if
	:: outcome == 0 && !proved[a] -> message = 1
	:: else
	fi
}

inline refuse(a) {
	expiredAtArrival[a] = 0;
	respond(refusal[a], a);
#ifdef NO_KEPT_REFUSAL
	state[a] = NONE
#else
	state[a] = REFUSED
#endif
}

inline receive(a) {
	copies[a]--;
	if
	:: state[a] == NONE -> state[a] = PENDING; expiredAtArrival[a] = expired[a]
	:: state[a] == REFUSED || state[a] == FENCED -> respond(refusal[a], a)
	:: state[a] == PENDING || state[a] == RUNNING || state[a] == FINISHED ->
#ifdef NO_DEDUP
		state[a] = PENDING
#else
#ifdef DUPLICATE_PROVES
		respond(refusal[a], a)
#else
		skip
#endif
#endif
	fi
}

inline start(a) {
	if
#ifndef NO_PAUSE
	:: stale[sentOn[a]] -> refuse(a)
#endif
#ifdef NO_DEADLINE_RECHECK
	:: expiredAtArrival[a] -> refuse(a)
#else
	:: expired[a] -> refuse(a)
#endif
	:: else ->
		state[a] = RUNNING;
		ran++;
#ifdef WITNESS
		assert(a == 0); /* fails if a second attempt can run */
#endif
		assert(ran <= 1);
		assert(outcome != OUTCOME_NOTRUN);
		assert(!pausedSince[a]);
		assert(!expired[a]);
		expiredAtArrival[a] = 0
	fi
}

inline revoke(a) {
	revoked[a] = 0;
	if
#ifndef NO_SESSION
	:: revokedOn[a] != sentOn[a] -> skip /* "unknown" */
#endif
	:: else ->
		if
		:: state[a] == RUNNING || state[a] == FINISHED -> skip /* "started" */
		:: state[a] == REFUSED || state[a] == FENCED -> respond(fencedResult[a], a)
		:: state[a] == NONE || state[a] == PENDING ->
			respond(fencedResult[a], a);
#ifndef NO_FENCE
			state[a] = FENCED
#endif
		fi
	fi
}

inline dropState(a) {
	state[a] = NONE;
	expiredAtArrival[a] = 0;
	copies[a] = 0 /* frames of an ended session are not received */
}

inline restart() {
	dropState(0);
	dropState(1);
	ended[0] = 1;
	if
	:: session >= 1 -> ended[1] = 1
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
	:: s < sent -> pausedSince[s] = 1; s++
	:: else -> break
	od;
	s = 0
}

#ifdef NO_PROOF
#define MAY_RETRY 1
#else
#define MAY_RETRY (sent == 0 || proved[0])
#endif
#define ALL_PROVED ((sent < 1 || proved[0]) && (sent < 2 || proved[1]))

inline send() {
	sentOn[sent] = session;
	copies[sent] = 1;
	sent++
}

inline reportOutcome() {
	if
	:: ALL_PROVED -> outcome = OUTCOME_NOTRUN; assert(ran == 0)
	:: else -> outcome = OUTCOME_UNKNOWN
	fi;
	clearMessages(0);
	clearMessages(1)
}

/* Messages that the entry ignores are cleared, which reduces the state space. */
inline clearMessages(a) {
	revoked[a] = 0;
	revokedOn[a] = 0;
	refusal[a] = 0;
	fencedResult[a] = 0
}

inline prove(a) {
	proved[a] = 1;
	clearMessages(a)
}

/* steps of one attempt */
#define STEPS(a) \
	:: atomic { a < sent && copies[a] > 0 && copies[a] < COPIES -> copies[a]++ } \
	:: atomic { a < sent && copies[a] > 0 && !ended[sentOn[a]] -> receive(a) } \
	:: atomic { state[a] == PENDING -> start(a) } \
	:: atomic { state[a] == PENDING -> refuse(a) } \
	:: atomic { state[a] == RUNNING -> state[a] = FINISHED } \
	:: atomic { windowEnded[a] && (state[a] == FINISHED || state[a] == REFUSED) -> state[a] = NONE } \
	:: atomic { !expired[a] && (copies[a] > 0 || state[a] == PENDING) -> expired[a] = 1 } \
	:: atomic { a < sent && !windowEnded[a] -> windowEnded[a] = 1; copies[a] = 0 } \
	:: atomic { a < sent && !revoked[a] && !proved[a] && outcome == 0 && !ended[session] -> revoked[a] = 1; revokedOn[a] = session } \
	:: atomic { revoked[a] && !ended[revokedOn[a]] -> revoke(a) } \
	:: atomic { refusal[a] -> prove(a) } \
	:: atomic { fencedResult[a] && IN_REVOKE_WINDOW(a) -> prove(a) }

#ifdef NO_REVOKE_WINDOW
#define IN_REVOKE_WINDOW(a) 1
#else
#define IN_REVOKE_WINDOW(a) (!windowEnded[a])
#endif

active proctype system() {
end:
	do
	:: atomic { outcome == 0 && sent < ATTEMPTS && MAY_RETRY -> send() }
	:: atomic { outcome == 0 && sent > 0 -> reportOutcome() }
	:: atomic { outcome == 0 && session + 1 < SESSIONS -> session++ }
	:: atomic { session + 1 < SESSIONS && !ended[session] -> restart() }
	:: atomic { sent > 0 && !stale[session] -> pause() }
	STEPS(0)
	STEPS(1)
	od
}
