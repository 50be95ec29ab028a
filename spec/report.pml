/*
 * Late reports: the owner of one share hears some ticks later that tokens were
 * spent, and mints then for the ticks in which their room was taken in vain.
 *
 * Modelled: a tick mints a token, or is noted as without room ("spill"). The
 * entry spends tokens that were moved to it and reports how many, and how many
 * ticks ago; the report may be late, lost or doubled. The owner may sleep ticks
 * without tenure, which are neither minted nor noted.
 * Promise: as in custody.pml, all that is admitted conforms to one token bucket
 * of CAP that gains a token each tick. "level" is that bucket.
 *
 * Abstracted: tokens are never void (custody.pml has that), ages saturate at M, at
 * most M ticks are noted, and one report is on the link.
 */
#ifndef CAP
#define CAP 3
#endif
#ifndef M
#define M 3
#endif

byte level = CAP;    /* the promise */
byte balance = CAP;  /* at the owner */
byte wallet;         /* moved to the entry and not spent */
byte unsaid[M + 1];  /* spent so many ticks ago, and in no report yet */
byte report[M + 1];  /* on the link; the ages are those of the sending */
bit link;            /* a copy of the report is on the link */
bit settled;         /* a copy of it has been taken */
byte forgotten;      /* told in a report that was lost: the next one counts them */
byte recount;        /* of these, in the report on the link */
bit spill[M];        /* the tick so many ticks ago found no room */
byte i, j, n;

#define SUM(a) (a[0] + a[1] + a[2] + a[3])
#define TAKEN (wallet + SUM(unsaid) + forgotten + (settled -> 0 : SUM(report) + recount))

inline older() {
	unsaid[M] = unsaid[M] + unsaid[M - 1];
	i = M - 1;
	do
	:: i > 0 -> unsaid[i] = unsaid[i - 1]; i--
	:: else -> break
	od;
	unsaid[0] = 0
}

inline shift() {
	i = M - 1;
	do
	:: i > 0 -> spill[i] = spill[i - 1]; i--
	:: else -> break
	od;
	spill[0] = 0
}

inline mint() {
	shift();
	if
	:: balance + TAKEN < CAP -> balance++
	:: else -> spill[0] = 1
	fi
}

/* the owner has no tenure: nothing noted before the end of this time counts */
inline sleep() {
	i = 0;
	do
	:: i < M -> spill[i] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline tick() {
	if
	:: level < CAP -> level++
	:: else
	fi;
	if
	:: mint()
	:: sleep()
	fi;
	older();
	i = 0
}

inline spend() {
	assert(level > 0); /* else more is admitted than burst + rate * window */
	level--;
	wallet--;
	unsaid[0]++
}

inline say() {
	i = 0;
	do
	:: i <= M -> report[i] = unsaid[i]; unsaid[i] = 0; i++
	:: else -> break
	od;
	i = 0;
	recount = forgotten;
	forgotten = 0;
	link = 1;
	settled = 0
}

inline lose() {
	if
	:: !settled -> forgotten = forgotten + SUM(report) + recount
	:: else
	fi;
	i = 0;
	do
	:: i <= M -> report[i] = 0; i++
	:: else -> break
	od;
	i = 0;
	recount = 0;
	link = 0;
	settled = 0
}

/* the tick i lies after the spending of tokens of age j */
#ifdef NO_AGE
#define AFTER 1
#else
#define AFTER (i < j)
#endif
#ifdef NO_LIMIT
#define LEFT 1
#else
#define LEFT (n > 0)
#endif
#ifdef NO_IDEMPOTENCE
#define FIRST 1
#else
#define FIRST (!settled)
#endif

/* mints for the ticks noted after the spending, one for each token at most */
inline credit() {
	j = M;
	do
	:: j > 0 ->
		n = report[j];
		i = M;
		do
		:: i > 0 ->
			i--;
			if
			:: report[j] > 0 && spill[i] && AFTER && LEFT ->
#ifndef NO_CONSUME
				spill[i] = 0;
#endif
#ifdef WITNESS
				assert(0); /* nothing is ever made good */
#endif
				balance++;
				n = (n > 0 -> n - 1 : 0)
			:: else
			fi
		:: else -> break
		od;
		j--
	:: else -> break
	od;
	n = 0
}

inline settle() {
	credit();
	settled = 1;
	if
	:: balance + TAKEN > CAP -> balance = (CAP > TAKEN -> CAP - TAKEN : 0)
	:: else
	fi
}

active proctype system() {
end:
	do
	:: atomic { tick() }
	:: atomic { balance > 0 -> balance--; wallet++ }
	:: atomic { wallet > 0 -> spend() }
	:: atomic { !link && SUM(unsaid) + forgotten > 0 -> say() }
	:: atomic { link && FIRST -> settle() }
	:: atomic { link -> lose() }
	od
}
