/*
 * Delayed usage reports: the owner of one share receives some ticks late that
 * tokens were spent. It then refills for the ticks in which those tokens, though
 * already spent, still took up room.
 *
 * Modelled: in a tick the owner adds a token, or records that there was no room
 * ("overflow"). The entry spends tokens that were granted to it, and reports how
 * many and how many ticks ago. The report may be delayed, lost or duplicated. The
 * owner may have no lease for some ticks, and neither refills nor records an
 * overflow for them.
 * Property: as in custody.pml, all admitted requests conform to one token bucket of
 * BURST tokens that gains a token in each tick. "bucket" is its level.
 *
 * Abstracted: tokens never expire (custody.pml models that), ages saturate at
 * HISTORY, at most HISTORY ticks are recorded, and one report is in transit.
 */
#ifndef BURST
#define BURST 3
#endif
#ifndef HISTORY
#define HISTORY 3
#endif

byte bucket = BURST;          /* the level that the property allows */
byte balance = BURST;         /* at the owner */
byte held;                    /* granted to the entry and not spent */
byte unreported[HISTORY + 1]; /* spent so many ticks ago, and in no report yet */
byte report[HISTORY + 1];     /* in transit; ages at the sending */
bit inTransit;                /* a copy of the report is in transit */
bit applied;                  /* the owner has applied a copy of it */
byte lost;                    /* tokens of a lost report; the next one counts them */
byte resent;                  /* of these, in the report in transit */
bit overflow[HISTORY];        /* there was no room in the tick so many ticks ago */
byte i, j, n;

#define SUM(a) (a[0] + a[1] + a[2] + a[3])
#define OUTSTANDING (held + SUM(unreported) + lost + (applied -> 0 : SUM(report) + resent))

inline ageUnreported() {
	unreported[HISTORY] = unreported[HISTORY] + unreported[HISTORY - 1];
	i = HISTORY - 1;
	do
	:: i > 0 -> unreported[i] = unreported[i - 1]; i--
	:: else -> break
	od;
	unreported[0] = 0
}

inline ageOverflows() {
	i = HISTORY - 1;
	do
	:: i > 0 -> overflow[i] = overflow[i - 1]; i--
	:: else -> break
	od;
	overflow[0] = 0
}

inline refill() {
	ageOverflows();
	if
	:: balance + OUTSTANDING < BURST -> balance++
	:: else -> overflow[0] = 1
	fi
}

/* The owner has no lease: overflows recorded before the end of this time do not count. */
inline tickWithoutLease() {
	i = 0;
	do
	:: i < HISTORY -> overflow[i] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline tick() {
	if
	:: bucket < BURST -> bucket++
	:: else
	fi;
	if
	:: refill()
	:: tickWithoutLease()
	fi;
	ageUnreported();
	i = 0
}

inline spend() {
	assert(bucket > 0); /* fails if more than burst + rate * window is admitted */
	bucket--;
	held--;
	unreported[0]++
}

inline sendReport() {
	i = 0;
	do
	:: i <= HISTORY -> report[i] = unreported[i]; unreported[i] = 0; i++
	:: else -> break
	od;
	i = 0;
	resent = lost;
	lost = 0;
	inTransit = 1;
	applied = 0
}

/* drops the last copy of the report */
inline dropReport() {
	if
	:: !applied -> lost = lost + SUM(report) + resent
	:: else
	fi;
	i = 0;
	do
	:: i <= HISTORY -> report[i] = 0; i++
	:: else -> break
	od;
	i = 0;
	resent = 0;
	inTransit = 0;
	applied = 0
}

/* tick i is after the spending of tokens of age j */
#ifdef NO_AGE
#define AFTER_SPENDING 1
#else
#define AFTER_SPENDING (i < j)
#endif
#ifdef NO_LIMIT
#define WITHIN_LIMIT 1
#else
#define WITHIN_LIMIT (n > 0)
#endif
#ifdef NO_IDEMPOTENCE
#define FIRST_COPY 1
#else
#define FIRST_COPY (!applied)
#endif

/* refills for overflows after the spending, with at most one token for each spent one */
inline credit() {
	j = HISTORY;
	do
	:: j > 0 ->
		n = report[j];
		i = HISTORY;
		do
		:: i > 0 ->
			i--;
			if
			:: report[j] > 0 && overflow[i] && AFTER_SPENDING && WITHIN_LIMIT ->
#ifndef NO_CONSUME
				overflow[i] = 0;
#endif
#ifdef WITNESS
				assert(0); /* fails if an overflow can be credited */
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

inline applyReport() {
	credit();
	applied = 1;
	if
	:: balance + OUTSTANDING > BURST -> balance = (BURST > OUTSTANDING -> BURST - OUTSTANDING : 0)
	:: else
	fi
}

active proctype system() {
end:
	do
	:: atomic { tick() }
	:: atomic { balance > 0 -> balance--; held++ }
	:: atomic { held > 0 -> spend() }
	:: atomic { !inTransit && SUM(unreported) + lost > 0 -> sendReport() }
	:: atomic { inTransit && FIRST_COPY -> applyReport() }
	:: atomic { inTransit -> dropReport() }
	od
}
