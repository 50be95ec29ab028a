/*
 * Custody of tokens: the owner of one share of an account's rate, and two entries
 * that spend what the owner moves to them.
 *
 * Modelled: an entry asks, the owner subtracts before it sends a grant, and keeps
 * the room of a grant reserved until the grant is surely void. A grant is void T
 * ticks after the asking, on the entry's clock, which may be a tick slow. Asks and
 * grants are lost, doubled, late; owner and entries are paused (nothing forces a
 * step of theirs, while ticks pass) and restart with empty hands.
 * Promise: all that is admitted conforms to one token bucket of CAP that gains a
 * token each tick, in every window. "level" is that bucket; no part of the system
 * reads it.
 *
 * Abstracted: time is ticks; all ages saturate, so that time is not bounded. A
 * grant moves all that the owner has. An entry holds one batch. One grant to an
 * entry may be on the link, in any number of copies; a later one overwrites it. Change of owner is handover.pml's.
 */
#ifndef CAP
#define CAP 2
#endif
#ifndef T
#define T 2
#endif
#define ENTRIES 2
#define SLOTS 2 /* one for each entry */

#ifdef NO_MARGIN
#define KEEP T
#else
#define KEEP (T + 1)
#endif

byte level = CAP;        /* the promise */
byte balance = CAP;      /* at the owner */
byte room[KEEP + 1];     /* tokens whose room comes back in so many ticks */
byte quiet;              /* ticks until a restarted owner may mint */

bit asking[ENTRIES];     /* an ask is on the link, maybe for a second time */
byte askAge[ENTRIES];
bit askOld[ENTRIES];     /* it was sent in an earlier life of the entry */
byte wallet[ENTRIES];
byte walletAge[ENTRIES];

byte grant[SLOTS];       /* tokens of a grant on the link */
byte grantAge[SLOTS];    /* since the asking */
bit taken[SLOTS];        /* a copy of it was taken before */
bit old[SLOTS];          /* it answers an earlier life of the entry */
byte i;

inline mint() {
	byte held = 0;
	i = 0;
	do
	:: i <= KEEP -> held = held + room[i]; i++
	:: else -> break
	od;
#ifdef NO_RESERVE
	held = 0;
#endif
	if
	:: quiet == 0 && balance + held < CAP -> balance++
	:: else
	fi;
	held = 0;
	i = 0
}

/* the owner's clock */
inline ownerTick() {
	room[0] = 0;
	i = 0;
	do
	:: i < KEEP -> room[i] = room[i + 1]; i++
	:: else -> break
	od;
	room[KEEP] = 0;
	room[0] = 0;
	i = 0;
	if
	:: quiet > 0 -> quiet--
	:: else
	fi
}

inline older(age) {
	if
	:: age < T -> age++
	:: else
	fi
}

/* an entry's clock runs, or lags by a tick once in the life of what it counts */
inline entryTick(e) {
	if
	:: 1 ->
		older(askAge[e]);
		older(walletAge[e]);
		older(grantAge[e])
	:: !lagged[e] -> lagged[e] = 1
	fi
}
bit lagged[ENTRIES];

inline tick() {
	if
	:: level < CAP -> level++
	:: else
	fi;
	ownerTick();
	if
	:: mint()
	:: 1 -> i = 0 /* the owner sleeps */
	fi;
	entryTick(0);
	entryTick(1);
	forget(0);
	forget(1)
}

/* what nobody can use any more is alike, which keeps the state space small */
inline clear(g) {
	grant[g] = 0;
	grantAge[g] = 0;
	taken[g] = 0;
	old[g] = 0
}

#if defined(NO_VOID) || defined(VOID_FROM_ARRIVAL)
#define ACCEPTED(age) 1
#define SPENDABLE(age) LATE_SPEND(age)
#else
#define ACCEPTED(age) (age < T)
#define SPENDABLE(age) (age < T)
#endif
#ifdef NO_VOID
#define LATE_SPEND(age) 1
#else
#define LATE_SPEND(age) (age < T)
#endif
#ifdef NO_DEDUP
#define FIRST(g) 1
#else
#define FIRST(g) (!taken[g])
#endif
#ifdef NO_INCARNATION
#define SAME_LIFE(g) 1
#else
#define SAME_LIFE(g) (!old[g])
#endif

inline forget(e) {
	if
	:: wallet[e] > 0 && !SPENDABLE(walletAge[e]) -> wallet[e] = 0
	:: else
	fi;
	if
	:: wallet[e] == 0 -> walletAge[e] = 0
	:: else
	fi;
	if
	:: !ACCEPTED(grantAge[e]) -> clear(e)
	:: else
	fi
}

inline ask(e) {
	asking[e] = 1;
	askAge[e] = 0;
	askOld[e] = 0;
	/* only when nothing older is counted may the clock lag once more */
	if
	:: wallet[e] == 0 && grant[e] == 0 -> lagged[e] = 0
	:: else
	fi
}

inline give(e, g) {
	grant[g] = balance;
	grantAge[g] = askAge[e];
	old[g] = askOld[e];
	taken[g] = 0;
	room[KEEP] = room[KEEP] + balance;
#ifndef NO_SUBTRACT
	balance = 0
#endif
}

inline take(e, g) {
	wallet[e] = grant[g];
	walletAge[e] = grantAge[g];
#ifdef VOID_FROM_ARRIVAL
	walletAge[e] = 0;
#endif
	taken[g] = 1
}

inline spend(e) {
	assert(level > 0); /* else more is admitted than burst + rate * window */
#ifdef WITNESS
	assert(level > 1); /* the whole burst can be spent */
#endif
	level--;
	wallet[e]--;
	if
	:: wallet[e] == 0 -> walletAge[e] = 0
	:: else
	fi
}

inline restartEntry(e) {
	wallet[e] = 0;
	walletAge[e] = 0;
	askOld[e] = asking[e];
	old[e] = (grant[e] > 0);
	taken[e] = 0 /* forgotten */
}

inline restartOwner() {
	balance = 0;
	i = 0;
	do
	:: i <= KEEP -> room[i] = 0; i++
	:: else -> break
	od;
	i = 0;
#ifndef NO_QUIET
	quiet = KEEP
#endif
}

#define STEPS(e) \
	:: atomic { wallet[e] == 0 -> ask(e) } \
	:: atomic { asking[e] -> asking[e] = 0; askAge[e] = 0; askOld[e] = 0 } \
	:: atomic { wallet[e] > 0 && SPENDABLE(walletAge[e]) -> spend(e) } \
	:: atomic { restartEntry(e) } \
	:: atomic { wallet[e] == 0 && grant[e] > 0 && FIRST(e) && SAME_LIFE(e) && ACCEPTED(grantAge[e]) -> take(e, e) } \
	:: atomic { asking[e] && balance > 0 -> give(e, e) } \
	:: atomic { grant[e] > 0 -> clear(e) }

active proctype system() {
end:
	do
	:: atomic { tick() }
	:: atomic { restartOwner() }
	STEPS(0)
	STEPS(1)
	od
}
