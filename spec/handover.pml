/*
 * Handover: who may act (mint, eject) under which list of members, while lists
 * follow one another faster than every member hears of them.
 *
 * Five daemons and three lists of three: L0 = {a, b, x}, L1 = {a, b, y},
 * L2 = {a, b, z}; x is replaced by y, and y by z. A majority of L1, {a, y}, is
 * disjoint from a majority of L0, {b, x}. A daemon acts under its list while a
 * majority of the list has voiced that very list within a horizon H, and under a
 * newer list only after a majority of every older list since the last active one
 * has moved on, and a silence of H has passed since. A restarted member reads a
 * list that may be stale; it gives no voice for H, and then until both others of
 * the list it reads (a majority of the others) have told it theirs.
 *
 * Modelled: members learn of lists in any order and late, answers are lost and
 * late, members are paused (nothing forces a step of theirs, while ticks pass)
 * and restart, RESTARTS times in all.
 * Promise: no two daemons act under different lists at one time.
 *
 * Abstracted: time is ticks, and nothing is older than H. Evidence counts from
 * the sending of the beat that was answered; the beat is sent and answered in one
 * step, which makes evidence last longest and is the harder case. Only x, y and z
 * act; a and b act on the same evidence as they do. What z needs to go on acting
 * is left out, which lets it act more. That L0, or L1, is handed over is found once,
 * by whoever it is, and then known to all, as the promise asks no more than that
 * such a finding is right. Clock drift is custody.pml's (NO_MARGIN).
 */
#ifndef H
#define H 1
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* members; z only acts */
#define A 0
#define B 1
#define X 2
#define Y 3
#define MEMBERS 4

#define KNOWS 0   /* a member that remembers what it voiced */
#define ASKS 1    /* restarted, silent for H, asks the others */
#define SILENT 2  /* restarted; SILENT + n has n ticks more to wait */

byte list[MEMBERS];       /* the newest list a member knows */
byte life[MEMBERS];
byte heard[MEMBERS];      /* by one that asks: a bit for each other it heard */
bit amnesic[MEMBERS];     /* has restarted at some time */
byte restarts = RESTARTS;

byte xEv[2] = H;          /* ages: a's and b's voice for L0, at x */
byte yEv[2] = H;          /* a's and b's voice for L1, at y */
byte ack0[3] = H;         /* that a, b, x moved on from L0 */
byte ack1[3] = H;         /* that a, b, y moved on from L1 */
byte silence0 = H + 1;    /* ticks until L0 counts as handed over; H + 1: not found yet */
byte silence1 = H + 1;
byte i;
#ifdef EVIDENCE_FROM_ARRIVAL
bit late[2];              /* an answer to x is still on its way */
#endif

#define VOICES(m) (life[m] == KNOWS)
#define FRESH(age) (age < H)
#define XACTS (list[X] == 0 && VOICES(X) && (FRESH(xEv[0]) || FRESH(xEv[1])))
#define YACTS (list[Y] == 1 && VOICES(Y) && silence0 == 0 && (FRESH(yEv[0]) || FRESH(yEv[1])))
#ifdef NO_CHAIN
#define ZACTS (silence1 == 0)
#else
#define ZACTS (silence1 == 0 && silence0 == 0)
#endif

#ifdef NO_MAJORITY
#define HANDED(age) (FRESH(age[0]) || FRESH(age[1]) || FRESH(age[2]))
#else
#define HANDED(age) (FRESH(age[0]) + FRESH(age[1]) + FRESH(age[2]) >= 2)
#endif

#ifdef NO_SILENCE
#define WAIT 0
#else
#define WAIT H
#endif

#define OLDER(age) age = (age < H -> age + 1 : H)
#ifdef NO_ACK_HORIZON
#define OLDER_ACK(age) skip
#else
#define OLDER_ACK(age) OLDER(age)
#endif
#define DOWN(n) n = (n > 0 && n <= H -> n - 1 : n)

inline tick() {
	i = 0;
	do
	:: i < 2 -> OLDER(xEv[i]); OLDER(yEv[i]); i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < 3 -> OLDER_ACK(ack0[i]); OLDER_ACK(ack1[i]); i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < MEMBERS -> life[i] = (life[i] >= SILENT -> life[i] - 1 : life[i]); i++
	:: else -> break
	od;
	i = 0;
	DOWN(silence0);
	DOWN(silence1)
}

#define NONE(age) age[0] = H; age[1] = H

/* somebody finds that an older list is handed over */
#define FIND(silence, ack) \
	if \
	:: silence == H + 1 && HANDED(ack) -> silence = WAIT; NONE(ack); ack[2] = H \
	:: else \
	fi

inline check() {
	FIND(silence0, ack0);
	FIND(silence1, ack1);
	/* evidence of a list that its member left is alike */
	if
	:: list[X] != 0 -> NONE(xEv)
	:: else
	fi;
	if
	:: list[Y] != 1 -> NONE(yEv)
	:: else
	fi;
	assert(!(XACTS && YACTS));
	assert(!(XACTS && ZACTS));
	assert(!(YACTS && ZACTS));
#ifdef WITNESS
	assert(!(ZACTS && amnesic[A] && amnesic[B])) /* a list can be handed over after restarts */
#endif
}

inline restart(m) {
	restarts--;
	amnesic[m] = 1;
	heard[m] = 0;
#ifdef NO_RECOVERY
	life[m] = KNOWS;
#else
#ifdef NO_FRESH_SILENCE
	life[m] = ASKS;
#else
	life[m] = ASKS + H;
#endif
#endif
	/* it reads any list that was published and has it as a member, or the next */
	if
	:: m != Y -> list[m] = 0
	:: list[m] = 1
	:: m != X -> list[m] = 2
	fi;
	if
	:: m == X -> NONE(xEv)
	:: m == Y -> NONE(yEv)
	:: else
	fi
}

/* the others of the list that m reads, in its place among them */
#define OTHER(m) (m == A -> B : A)
#define THIRD(m) (m == X || m == Y -> B : (list[m] == 0 -> X : Y))

#define LAST(m) (m == X -> 1 : 2)

/* A restarted member may have left, in its earlier life, lists that it hears of
 * only now; so it asks again under each list that it takes up. */
#ifdef NO_LIST_RECOVERY
#define REMEMBERS(m) 1
#define TELLS(from, m) VOICES(from)
#else
#define REMEMBERS(m) (!amnesic[m])
#define TELLS(from, m) (VOICES(from) && (!amnesic[from] || list[from] >= list[m]))
#endif

/* nothing follows the last list, so that there is nothing to learn */
inline settle(m) {
	if
	:: life[m] == ASKS && (heard[m] == 3 || list[m] == 2) -> life[m] = KNOWS; heard[m] = 0
	:: else
	fi
}

inline adopt(m, newer) {
	list[m] = newer;
	heard[m] = 0;
	if
	:: life[m] == KNOWS && !REMEMBERS(m) -> life[m] = ASKS
	:: else
	fi;
	settle(m)
}

inline hear(m, from, bit_) {
	if
	:: list[from] > list[m] && list[m] < LAST(m) ->
		i = list[from];
		if
		:: i > LAST(m) -> i = LAST(m)
		:: else
		fi;
		adopt(m, i);
		i = 0
	:: else -> heard[m] = heard[m] | bit_; settle(m)
	fi
}

#define MEMBER(m) \
	:: list[m] < LAST(m) -> adopt(m, list[m] + 1) \
	:: restarts > 0 -> restart(m) \
	:: life[m] == ASKS && list[m] == 2 -> settle(m) \
	:: life[m] == ASKS && TELLS(OTHER(m), m) -> hear(m, OTHER(m), 1) \
	:: life[m] == ASKS && list[m] < 2 && TELLS(THIRD(m), m) -> hear(m, THIRD(m), 2)

/* a and b answer x, y and whoever asks whether a list is handed over */
#ifdef EVIDENCE_FROM_ARRIVAL
#define ANSWER_X(v) \
	:: VOICES(v) && list[v] == 0 && list[X] == 0 -> late[v] = 1 \
	:: late[v] && list[X] == 0 -> late[v] = 0; xEv[v] = 0
#else
#define ANSWER_X(v) \
	:: VOICES(v) && list[v] == 0 && list[X] == 0 -> xEv[v] = 0
#endif

#define VOTER(v) \
	ANSWER_X(v) \
	:: VOICES(v) && list[v] == 1 && list[Y] == 1 -> yEv[v] = 0 \
	:: VOICES(v) && list[v] >= 1 && silence0 > H -> ack0[v] = 0 \
	:: VOICES(v) && list[v] == 2 && silence1 > H -> ack1[v] = 0

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
		:: VOICES(X) && list[X] >= 1 && silence0 > H -> ack0[2] = 0
		:: VOICES(Y) && list[Y] == 2 && silence1 > H -> ack1[2] = 0
		fi;
		check()
	}
	od
}
