/*
 * Election, voting, append, commit and membership change of package quorum.
 *
 * Messages are not queued: the state keeps what has been sent (the votes
 * granted in each term, the log of each term's leader, the highest index that
 * each member acknowledged in each term), and any part of it may be delivered
 * at any later time, repeatedly or never. README.md says what is left out.
 */

#ifndef TERMS
#define TERMS 3 /* highest term */
#endif
#ifndef LEN
#define LEN 4 /* highest log index */
#endif
#ifndef CMDS
#define CMDS 1 /* client entries per term */
#endif
#ifndef NODES
#define NODES 4 /* members 0 to 2 are the first voters, 3 replaces member 2 */
#endif
#define VOTERS 7 /* bit set of the voters at bootstrap */

/* An entry is its term times 16 plus its content: a bit set of two or more voters, or: */
#define EMPTY 0
#define COMMAND 1
#define TERM_OF(e) ((e) >> 4)
#define CONTENT(e) ((e) & 15)
#define BIT(n) (1 << (n))
#define NO_CANDIDATE 5 /* vote of a candidate that follows the leader now */

#define LOG(n, i) log[(n) * LEN + (i) - 1]
#define LEAD_LOG(t, i) leadLog[((t) - 1) * LEN + (i) - 1]
#define VOTE(t, n) vote[((t) - 1) * NODES + (n)]
#define MATCH(t, n) match[((t) - 1) * NODES + (n)]

/* Synced by each member; vote holds the candidate plus one, zero for none. */
byte term[NODES];
byte last[NODES];
byte log[NODES * LEN];
byte vote[TERMS * NODES];

/* Sent in each term; for the leader itself match is its synced length. */
byte leader[TERMS + 1]; /* member plus one, zero for none */
bit lost[TERMS + 1];    /* the leader crashed with unsynced entries */
byte leadLast[TERMS + 1];
byte leadLog[TERMS * LEN];
byte match[TERMS * NODES];
byte commit[TERMS + 1]; /* commit index of the term's leader */

/* Scratch variables inside one step, no part of the state. */
hidden byte i, j, k, voters, set, count, size;
hidden byte ok;

/* Sets voters to the voters in force in the log of n, and j to the index of their entry. */
inline find_voters(n) {
	voters = (n < 3 -> VOTERS : 0);
	j = 0;
	i = 1;
	do
	:: i <= last[n] ->
		if
		:: CONTENT(LOG(n, i)) > COMMAND -> voters = CONTENT(LOG(n, i)); j = i
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* Sets ok to whether count members are a majority of voters. */
inline has_majority() {
	size = (voters & 1) + ((voters >> 1) & 1) + ((voters >> 2) & 1) + ((voters >> 3) & 1);
	ok = (2 * count > size)
}

/* Asserts that the log of leader b holds all that leader a of an earlier term has committed. */
inline check_pair(a, b) {
	i = 1;
	do
	:: i <= commit[a] ->
		assert(i <= leadLast[b] && LEAD_LOG(a, i) == LEAD_LOG(b, i));
		i++
	:: else -> break
	od
}

inline check_completeness() {
	size = 1;
	do
	:: size < TERMS ->
		count = size + 1;
		do
		:: count <= TERMS ->
			if
			:: leader[size] && leader[count] -> check_pair(size, count)
			:: else
			fi;
			count++
		:: else -> break
		od;
		size++
	:: else -> break
	od
}

inline append_own(n, t, content) {
	last[n]++;
	LOG(n, last[n]) = t * 16 + content;
	leadLast[t] = last[n];
	LEAD_LOG(t, last[n]) = LOG(n, last[n])
}

#define LEADS(n, t) (leader[t] == n + 1 && term[n] == t && !lost[t])
#define CANDIDATE(n, t) (VOTE(t, n) == n + 1 && term[n] == t && leader[t] != n + 1)

/* Any voter may campaign at any time. */
inline campaign(n, t) {
	find_voters(n);
	if
	:: voters & BIT(n) -> term[n] = t; VOTE(t, n) = n + 1
	:: else
	fi
}

/* Member n handles the vote request of candidate c. */
inline grant(n, c, t) {
	find_voters(n);
#ifdef LEARNER_VOTES
	ok = true;
#else
	ok = (voters & BIT(n)) != 0;
#endif
	i = (last[c] == 0 -> 0 : TERM_OF(LOG(c, last[c])));
	j = (last[n] == 0 -> 0 : TERM_OF(LOG(n, last[n])));
	if
	:: ok && (i > j || (i == j && last[c] >= last[n])) -> term[n] = t; VOTE(t, n) = c + 1
	:: else
	fi
}

/* Candidate n counts the votes and leads with a majority of its voters. */
inline win(n, t) {
	find_voters(n);
#ifdef LEARNER_VOTES
	size = 15;
#else
	size = voters;
#endif
	count = 0;
	i = 0;
	do
	:: i < NODES ->
		if
		:: (size & BIT(i)) && VOTE(t, i) == n + 1 -> count++
		:: else
		fi;
		i++
	:: else -> break
	od;
	has_majority();
	if
	:: ok && last[n] < LEN ->
		assert(leader[t] == 0); /* one leader a term */
		leader[t] = n + 1;
		MATCH(t, n) = last[n];
		i = 1;
		do
		:: i <= last[n] -> LEAD_LOG(t, i) = LOG(n, i); i++
		:: else -> break
		od;
		append_own(n, t, EMPTY);
		check_completeness()
	:: else
	fi
}

/* The leader of term t commits the greatest index that a majority of its voters acknowledged. */
inline advance_commit(t) {
	if
	:: leader[t] && term[leader[t] - 1] == t && !lost[t] ->
		find_voters(leader[t] - 1);
#ifdef LEARNER_COUNTS
		set = 15;
#else
		set = voters;
#endif
		k = leadLast[t];
		do
		:: k > commit[t] ->
			count = 0;
			i = 0;
			do
			:: i < NODES ->
				if
				:: (set & BIT(i)) && MATCH(t, i) >= k -> count++
				:: else
				fi;
				i++
			:: else -> break
			od;
			has_majority();
#ifndef COMMIT_EARLIER_TERM
			ok = ok && TERM_OF(LEAD_LOG(t, k)) == t;
#endif
			if
			:: ok -> commit[t] = k; check_completeness(); break
			:: else
			fi;
			k--
		:: else -> break
		od
	:: else
	fi;
	skip /* a step must not end in a loop */
}

/*
 * Member n handles an append of term t's leader: it acknowledges what both
 * logs have, or else takes the next entry. Longer appends are sequences of these.
 */
inline deliver(n, t) {
	term[n] = t;
	VOTE(t, n) = (VOTE(t, n) == n + 1 -> NO_CANDIDATE : VOTE(t, n));
	i = 0;
	do
	:: i < last[n] && i < leadLast[t] && TERM_OF(LOG(n, i + 1)) == TERM_OF(LEAD_LOG(t, i + 1)) ->
		i++;
		assert(LOG(n, i) == LEAD_LOG(t, i)) /* log matching */
	:: else -> break
	od;
	if
	:: (i <= MATCH(t, n) || term[leader[t] - 1] != t || lost[t]) && i < leadLast[t] ->
		i++;
		j = i;
		do
		:: j <= last[n] -> LOG(n, j) = 0; j++
		:: else -> break
		od;
		LOG(n, i) = LEAD_LOG(t, i);
		last[n] = i
	:: else
	fi;
	MATCH(t, n) = i;
	advance_commit(t)
}

/* Leader n proposes a membership that differs by one voter. */
inline change(n, t, from, to) {
	find_voters(n);
	ok = voters == from && j <= commit[t] && commit[t] > 0 && TERM_OF(LOG(n, commit[t])) == t;
	if
	:: (to & ~from & 8) && MATCH(t, 3) == 0 -> ok = false
	:: else
	fi;
	if
	:: ok -> append_own(n, t, to)
	:: else
	fi
}

/* The leader's unsynced entries are lost, and so is its role. */
inline crash(n, t) {
	i = MATCH(t, n) + 1;
	do
	:: i <= last[n] -> LOG(n, i) = 0; i++
	:: else -> break
	od;
	last[n] = MATCH(t, n);
	lost[t] = 1
}

/* Clears what can no longer have an effect, so that equal states are recognised. */
inline forget() {
	j = 1;
	do
	:: j <= TERMS ->
		/* Acknowledgements count only for a leader in office. */
		ok = leader[j] && (lost[j] || term[leader[j] - 1] > j);
		size = 0; /* members that may still act in this term */
		i = 0;
		do
		:: i < NODES ->
			count = VOTE(j, i);
			if
			:: term[i] > j && count != 0 && (count == NO_CANDIDATE || term[count - 1] > j || leader[j] == count) -> VOTE(j, i) = 0
			:: else
			fi;
			size = (term[i] <= j -> size + 1 : size);
			MATCH(j, i) = (ok -> 0 : MATCH(j, i));
			i++
		:: else -> break
		od;
		if
		:: size == 0 && leader[j] ->
			i = commit[j] + 1;
			do
			:: i <= leadLast[j] -> LEAD_LOG(j, i) = 0; i++
			:: else -> break
			od;
			leadLast[j] = commit[j];
			if
			:: commit[j] == 0 -> leader[j] = 0; lost[j] = 0
			:: else
			fi
		:: else
		fi;
		j++
	:: else -> break
	od;
	skip
}

#ifdef REUSED_ID
/* The disk of member 2 is lost and a blank one votes under the same ID. */
inline wipe() {
	i = 1;
	do
	:: i <= LEN -> LOG(2, i) = 0; i++
	:: else -> break
	od;
	i = 1;
	do
	:: i <= TERMS -> VOTE(i, 2) = 0; i++
	:: else -> break
	od;
	last[2] = 0;
	term[2] = 0
}
bit wiped;
#endif

#ifdef TWO_VOTES
#define MAY_VOTE(t, n) (VOTE(t, n) != n + 1)
#else
#define MAY_VOTE(t, n) (VOTE(t, n) == 0)
#endif

#if NODES == 4
#define IF_FOURTH(x) x
#define SEEN(t) (term[0] >= t || term[1] >= t || term[2] >= t || term[3] >= t)
#else
#define IF_FOURTH(x)
#define SEEN(t) (term[0] >= t || term[1] >= t || term[2] >= t)
#endif

/*
 * A member may have heard of any term that another has reached. Members 0 and 1
 * are interchangeable until one campaigns, so that 1 is never the first.
 */
#define MAY_CAMPAIGN(n, t) (term[n] < t && SEEN(t - 1) && (n != 1 || SEEN(1)))

#define GRANT(n, c, t) \
	:: d_step { n != c && CANDIDATE(c, t) && term[n] <= t && MAY_VOTE(t, n) -> grant(n, c, t); forget() }
#define DELIVER(n, t) \
	:: d_step { leader[t] && leader[t] != n + 1 && term[n] <= t && MATCH(t, n) < leadLast[t] -> deliver(n, t); forget() }
#define CHANGE(n, t, from, to) \
	:: d_step { LEADS(n, t) && last[n] < LEN -> change(n, t, from, to) }

#if NODES == 4
#define CHANGES(n, t) CHANGE(n, t, 7, 15) CHANGE(n, t, 15, 11) CHANGE(n, t, 7, 3) CHANGE(n, t, 3, 11)
#else
#define CHANGES(n, t)
#endif

/* A leader proposes at most CMDS client entries, which directly follow its empty entry or each other. */
#define STEPS(n, t) \
	:: d_step { MAY_CAMPAIGN(n, t) -> campaign(n, t); forget() } \
	:: d_step { CANDIDATE(n, t) -> win(n, t); forget() } \
	:: d_step { LEADS(n, t) && last[n] < LEN && CMDS > 0 && CONTENT(LOG(n, last[n])) == EMPTY -> append_own(n, t, COMMAND) } \
	:: d_step { LEADS(n, t) && MATCH(t, n) < last[n] -> MATCH(t, n) = last[n]; advance_commit(t) } \
	:: d_step { LEADS(n, t) && MATCH(t, n) < last[n] -> crash(n, t); forget() } \
	GRANT(n, 0, t) GRANT(n, 1, t) GRANT(n, 2, t) IF_FOURTH(GRANT(n, 3, t)) \
	DELIVER(n, t) \
	CHANGES(n, t)

#if TERMS >= 4
#define ALL_TERMS(n) STEPS(n, 1) STEPS(n, 2) STEPS(n, 3) STEPS(n, 4)
#elif TERMS == 3
#define ALL_TERMS(n) STEPS(n, 1) STEPS(n, 2) STEPS(n, 3)
#else
#define ALL_TERMS(n) STEPS(n, 1) STEPS(n, 2)
#endif

active proctype cluster() {
end:
	do
	ALL_TERMS(0)
	ALL_TERMS(1)
	ALL_TERMS(2)
	IF_FOURTH(ALL_TERMS(3))
#ifdef REUSED_ID
	:: d_step { !wiped -> wiped = 1; wipe(); forget() }
#endif
	od
}
