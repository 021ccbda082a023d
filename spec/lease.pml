/*
 * The leader lease of package quorum with three voters whose clocks tick at
 * different and varying rates. README.md says what is left out.
 */

#ifndef TIMEOUT
#define TIMEOUT 4 /* minimum election timeout in ticks */
#endif
#ifndef TERMS
#define TERMS 3 /* highest term */
#endif

/* Units of real time between two ticks of one member: the drift is one third. */
#define FAST 2
#define SLOW 3

#if defined(NO_DRIFT)
#define LEASE (TIMEOUT - 1)
#elif defined(NO_PART_TICK)
#define LEASE (TIMEOUT * FAST / SLOW)
#else
#define LEASE ((TIMEOUT - 1) * FAST / SLOW)
#endif

#define NODES 3

byte term[NODES];
bit voted[NODES];    /* in its term */
bit candidate[NODES];
bit leads[NODES];
bit handed[NODES];   /* as leader: gave up the lease for the rest of the term */
byte phase[NODES];   /* units since the last tick */
byte silent[NODES];  /* ticks since it heard a leader, up to TIMEOUT */
byte round[NODES];   /* as leader: ticks since its latest round started, up to LEASE */
byte answer[NODES];  /* as leader: ticks since the start of the latest round that a follower answered, up to LEASE */
byte handover;       /* bit set of the terms whose leaders handed over */

#define LEASE_HELD(n) (leads[n] && !handed[n] && answer[n] < LEASE)
#define PROMISED(n) (leads[n] || silent[n] < TIMEOUT)

/* Ticks that are due come before all else. */
#define SETTLED (phase[0] < SLOW && phase[1] < SLOW && phase[2] < SLOW)

inline tick(n) {
	phase[n] = 0;
	silent[n] = (silent[n] < TIMEOUT -> silent[n] + 1 : TIMEOUT);
	round[n] = (round[n] < LEASE -> round[n] + 1 : LEASE);
	answer[n] = (answer[n] < LEASE -> answer[n] + 1 : LEASE)
}

/* A member that was paused omits a tick; a leader may not. */
#ifdef LEADER_OMITS
#define MAY_OMIT(n) true
#else
#define MAY_OMIT(n) (!leads[n])
#endif

inline follow(n) {
	leads[n] = 0;
	candidate[n] = 0;
	handed[n] = 0;
	round[n] = LEASE;
	answer[n] = LEASE
}

inline raise(n, t) {
	if
	:: term[n] < t -> term[n] = t; voted[n] = 0; follow(n)
	:: else
	fi
}

/* Follower n hears the latest round of leader l, which gets the answer at once. */
inline hear(n, l) {
	raise(n, term[l]);
	follow(n);
	silent[n] = 0;
	answer[l] = (answer[l] < round[l] -> answer[l] : round[l])
}

inline campaign(n) {
	term[n]++;
	voted[n] = 1;
	candidate[n] = 1
}

/* Member n votes for c, which then has a majority of three and commits at once. */
inline elect(n, c) {
	raise(n, term[c]);
	voted[n] = 1;
	candidate[n] = 0;
	candidate[c] = 0;
	leads[c] = 1;
	round[c] = 0;
	answer[c] = LEASE;
	assert(!(LEASE_HELD(0) && c != 0));
	assert(!(LEASE_HELD(1) && c != 1));
	assert(!(LEASE_HELD(2) && c != 2))
}

/* A restarted member keeps its term and vote, and renews its promise. */
inline restart(n) {
	follow(n);
#ifdef FORGET_PROMISE
	silent[n] = TIMEOUT
#else
	silent[n] = 0
#endif
}

#ifdef HANDOVER
#define HANDED_OVER(n) ((handover >> term[n]) & 1)
#define HAND_OVER(n) \
	:: d_step { SETTLED && leads[n] -> handover = handover | (1 << term[n]); GIVE_UP(n) }
#else
#define HANDED_OVER(n) false
#define HAND_OVER(n)
#endif

#ifdef NO_REFUSAL
#define REFUSES(n, c) leads[n]
#else
#define REFUSES(n, c) (PROMISED(n) && !(HANDED_OVER(n) && term[c] == term[n] + 1))
#endif

#define MAY_CAMPAIGN(n) (!leads[n] && (silent[n] >= TIMEOUT || HANDED_OVER(n)))

#ifdef KEEP_LEASE
#define GIVE_UP(n) skip
#else
#define GIVE_UP(n) handed[n] = 1
#endif

#define HEAR(n, l) \
	:: d_step { SETTLED && n != l && leads[l] && term[n] <= term[l] -> hear(n, l) }
#define ELECT(n, c) \
	:: d_step { SETTLED && n != c && candidate[c] && (term[n] < term[c] || (term[n] == term[c] && !voted[n])) && !REFUSES(n, c) -> elect(n, c) }

#define STEPS(n) \
	:: d_step { phase[n] >= FAST -> tick(n) } \
	:: d_step { phase[n] >= FAST && MAY_OMIT(n) -> phase[n] = 0 } \
	:: d_step { SETTLED && leads[n] -> round[n] = 0 } \
	:: d_step { SETTLED && leads[n] -> follow(n) } \
	HAND_OVER(n) \
	:: d_step { SETTLED && MAY_CAMPAIGN(n) && term[n] < TERMS -> campaign(n) } \
	:: d_step { SETTLED -> restart(n) } \
	HEAR(n, 0) HEAR(n, 1) HEAR(n, 2) \
	ELECT(n, 0) ELECT(n, 1) ELECT(n, 2)

active proctype cluster() {
	/* Member 0 has been elected in term 1 by member 1. */
	d_step {
		term[0] = 1;
		voted[0] = 1;
		leads[0] = 1;
		answer[0] = LEASE;
		term[1] = 1;
		voted[1] = 1;
		silent[1] = TIMEOUT;
		silent[2] = TIMEOUT;
		silent[0] = TIMEOUT;
		round[1] = LEASE; answer[1] = LEASE;
		round[2] = LEASE; answer[2] = LEASE
	}
end:
	do
	:: d_step { SETTLED -> phase[0]++; phase[1]++; phase[2]++ }
	STEPS(0)
	STEPS(1)
	STEPS(2)
	od
}
