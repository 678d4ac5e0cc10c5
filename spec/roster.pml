/*
 * The change of roster: from voters 0 1 2 (epoch 1) over both lists (epoch 2) to
 * voters 1 2 3 (epoch 3), while two holders claim one subject.
 *
 * Majorities of the first and the last list need not meet ({0 1} and {2 3}). A
 * voter answers only requests of its own epoch, and learns a newer one from the
 * store or from a request. Time is told in ticks that are left, so that a run may
 * last for ever. Rules have the names of the code: isQuorum,
 * nextRoster, roster_adoption::isAdopted, lease_voter::answer,
 * lease_holder::setRoster, ::ownedUntil.
 *
 * Property: whenever a holder sends, the other owns nothing by its own rules.
 *
 * mutant: NO_ADOPTION  the prior voters are dropped at once
 * mutant: NO_PRIOR     the joint roster needs the new majority only
 * mutant: ANY_EPOCH    a voter answers requests of every epoch
 * mutant: KEEP_FOREVER former ownership is kept beyond its grants
 */
#define LEASE 2
#define VOTERS 4
#define NOBODY 2

byte stored = 1;

byte promisedTo[VOTERS] = NOBODY;
byte promiseLeft[VOTERS];        /* ticks until the promise lapses */
byte voterEpoch[VOTERS] = 1;
byte followedFor[VOTERS] = LEASE; /* ticks since it follows its epoch, to LEASE */

byte holderEpoch[2] = 1;
byte formerLeft[2];              /* ticks of ownership under a former roster */
typedef grants { byte left[VOTERS] };
grants h[2];                     /* ticks until each grant lapses */

byte first, last; /* granted voters of list 0 1 2, and of list 1 2 3 */

/* isQuorum over the counts of both lists, by epoch. */
inline isQuorum(epoch, result) {
  if
  :: epoch == 1 -> result = (first >= 2)
#ifdef NO_PRIOR
  :: epoch == 2 -> result = (last >= 2)
#else
  :: epoch == 2 -> result = (first >= 2 && last >= 2)
#endif
  :: epoch == 3 -> result = (last >= 2)
  fi;
  first = 0; last = 0
}

/* Counts the grants of holder i that hold for more than t ticks. */
inline countGrants(i, t) {
  first = 0; last = 0;
  if :: h[i].left[0] > t -> first++ :: else -> skip fi;
  if :: h[i].left[1] > t -> first++; last++ :: else -> skip fi;
  if :: h[i].left[2] > t -> first++; last++ :: else -> skip fi;
  if :: h[i].left[3] > t -> last++ :: else -> skip fi
}

inline owns(i, result) {
  countGrants(i, 0);
  isQuorum(holderEpoch[i], result);
  result = (result || formerLeft[i] > 0)
}

bool good, mine, rivalOwns;
byte rival, t, v;

/* lease_holder::setRoster: what is owned now stays owned until its grants end. */
inline setRoster(i, epoch) {
  t = 0;
  do
  :: t < LEASE ->
       countGrants(i, t);
       isQuorum(holderEpoch[i], good);
       if
       :: good && formerLeft[i] < t + 1 -> formerLeft[i] = t + 1
       :: else -> skip
       fi;
       t++
  :: else -> break
  od;
  t = 0; good = false;
  holderEpoch[i] = epoch
}

inline follow(w, epoch) {
  voterEpoch[w] = epoch; followedFor[w] = 0
}

inline grant(i, w) {
  if
  :: promisedTo[w] != NOBODY && promisedTo[w] != i && promiseLeft[w] > 0 -> skip
  :: else ->
       promisedTo[w] = i; promiseLeft[w] = LEASE;
       h[i].left[w] = LEASE
  fi
}

/* One request of holder i to voter w, with the rosters that both know. */
inline exchange(i, w) {
  atomic {
    if
    :: holderEpoch[i] > voterEpoch[w] -> follow(w, holderEpoch[i]); grant(i, w)
#ifdef ANY_EPOCH
    :: holderEpoch[i] <= voterEpoch[w] -> grant(i, w)
#else
    :: holderEpoch[i] < voterEpoch[w] -> setRoster(i, voterEpoch[w])
    :: holderEpoch[i] == voterEpoch[w] -> grant(i, w)
#endif
    fi }
}

proctype holder(byte i) {
  do
  :: exchange(i, 0)
  :: exchange(i, 1)
  :: exchange(i, 2)
  :: exchange(i, 3)
  :: atomic { holderEpoch[i] < stored -> setRoster(i, stored) }
  :: atomic { owns(i, mine);
       if
       :: mine -> rival = 1 - i; owns(rival, rivalOwns); assert(!rivalOwns)
       :: else -> skip
       fi; mine = false; rivalOwns = false; rival = 0 }
  od
}

/* roster_adoption::isAdopted: who has followed epoch 2 for a lease. */
inline isAdopted(result) {
  first = 0; last = 0; v = 0;
  do
  :: v < VOTERS ->
       if
       :: voterEpoch[v] == 2 && followedFor[v] >= LEASE ->
            if :: v <= 2 -> first++ :: else -> skip fi;
            if :: v >= 1 -> last++ :: else -> skip fi
       :: else -> skip
       fi;
       v++
  :: else -> break
  od;
  v = 0;
  isQuorum(2, result)
}

bool adopted;

proctype store() {
  do
  /* nextRoster */
  :: atomic { stored == 1 -> stored = 2 }
  :: atomic { stored == 2 ->
#ifdef NO_ADOPTION
       adopted = true;
#else
       isAdopted(adopted);
#endif
       if :: adopted -> stored = 3 :: else -> skip fi; adopted = false }
  :: atomic { voterEpoch[0] < stored -> follow(0, stored) }
  :: atomic { voterEpoch[1] < stored -> follow(1, stored) }
  :: atomic { voterEpoch[2] < stored -> follow(2, stored) }
  :: atomic { voterEpoch[3] < stored -> follow(3, stored) }
  /* a tick */
  :: atomic {
       v = 0;
       do
       :: v < VOTERS ->
            if :: promiseLeft[v] > 0 -> promiseLeft[v]-- :: else -> skip fi;
            if :: promiseLeft[v] == 0 -> promisedTo[v] = NOBODY :: else -> skip fi;
            if :: h[0].left[v] > 0 -> h[0].left[v]-- :: else -> skip fi;
            if :: h[1].left[v] > 0 -> h[1].left[v]-- :: else -> skip fi;
            if :: followedFor[v] < LEASE -> followedFor[v]++ :: else -> skip fi;
            v++
       :: else -> break
       od;
#ifndef KEEP_FOREVER
       if :: formerLeft[0] > 0 -> formerLeft[0]-- :: else -> skip fi;
       if :: formerLeft[1] > 0 -> formerLeft[1]-- :: else -> skip fi;
#endif
       v = 0 }
  od
}

init {
  atomic { run holder(0); run holder(1); run store() }
}
