/*
 * A roster change: from voters 0 1 2 (epoch 1) through the joint roster of both
 * lists (epoch 2) to voters 1 2 3 (epoch 3), while two holders claim one
 * subject.
 *
 * A majority of the first list and one of the last need not intersect ({0 1}
 * and {2 3}). A voter grants only requests of its own epoch, and adopts a newer
 * epoch from the store or from a request. Time is counted in remaining ticks,
 * so that runs of unbounded length have a finite number of states.
 *
 * Rules have the names of the code: isQuorum, nextRoster,
 * roster_adoption::isAdopted, lease_voter::handleRequest,
 * lease_holder::setRoster, ::ownedUntil.
 *
 * Property: whenever a holder sends, the other owns nothing by its own rules.
 *
 * mutant: NO_ADOPTION  the prior voters are dropped before adoption
 * mutant: NO_PRIOR     the joint roster needs a majority of the new list only
 * mutant: ANY_EPOCH    a voter grants requests of every epoch
 * mutant: NO_FORMER_EXPIRY ownership under a former roster never expires
 */
#define LEASE 2
#define VOTERS 4
#define NO_HOLDER 2

byte stored = 1;

byte promisedTo[VOTERS] = NO_HOLDER;
byte promiseLeft[VOTERS];        /* ticks until the grant expires */
byte voterEpoch[VOTERS] = 1;
byte adoptedFor[VOTERS] = LEASE; /* ticks since it was adopted, up to LEASE */

byte holderEpoch[2] = 1;
byte formerLeft[2];              /* ticks of ownership under a former roster */
typedef grants { byte left[VOTERS] };
grants h[2];                     /* ticks until each grant expires */

byte firstGrants, lastGrants; /* grants by voters 0 1 2, and by 1 2 3 */

/* isQuorum, by epoch, over the number of grants from each list. */
inline isQuorum(epoch, result) {
  if
  :: epoch == 1 -> result = (firstGrants >= 2)
#ifdef NO_PRIOR
  :: epoch == 2 -> result = (lastGrants >= 2)
#else
  :: epoch == 2 -> result = (firstGrants >= 2 && lastGrants >= 2)
#endif
  :: epoch == 3 -> result = (lastGrants >= 2)
  fi;
  firstGrants = 0; lastGrants = 0
}

/* Counts the grants of holder i with more than t remaining ticks. */
inline countGrants(i, t) {
  firstGrants = 0; lastGrants = 0;
  if :: h[i].left[0] > t -> firstGrants++ :: else -> skip fi;
  if :: h[i].left[1] > t -> firstGrants++; lastGrants++ :: else -> skip fi;
  if :: h[i].left[2] > t -> firstGrants++; lastGrants++ :: else -> skip fi;
  if :: h[i].left[3] > t -> lastGrants++ :: else -> skip fi
}

inline owns(i, result) {
  countGrants(i, 0);
  isQuorum(holderEpoch[i], result);
  result = (result || formerLeft[i] > 0)
}

bool hasQuorum, mine, otherOwns;
byte other, t, v;

/* lease_holder::setRoster: ownership under the former roster lasts until its
 * grants expire. */
inline setRoster(i, epoch) {
  t = 0;
  do
  :: t < LEASE ->
       countGrants(i, t);
       isQuorum(holderEpoch[i], hasQuorum);
       if
       :: hasQuorum && formerLeft[i] < t + 1 -> formerLeft[i] = t + 1
       :: else -> skip
       fi;
       t++
  :: else -> break
  od;
  t = 0; hasQuorum = false;
  holderEpoch[i] = epoch
}

inline adoptEpoch(w, epoch) {
  voterEpoch[w] = epoch; adoptedFor[w] = 0
}

inline grant(i, w) {
  if
  :: promisedTo[w] != NO_HOLDER && promisedTo[w] != i && promiseLeft[w] > 0 -> skip
  :: else ->
       promisedTo[w] = i; promiseLeft[w] = LEASE;
       h[i].left[w] = LEASE
  fi
}

/* A request of holder i to voter w, in which both exchange their rosters. */
inline exchange(i, w) {
  atomic {
    if
    :: holderEpoch[i] > voterEpoch[w] -> adoptEpoch(w, holderEpoch[i]); grant(i, w)
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
       :: mine -> other = 1 - i; owns(other, otherOwns); assert(!otherOwns)
       :: else -> skip
       fi; mine = false; otherOwns = false; other = 0 }
  od
}

/* roster_adoption::isAdopted: a quorum has followed epoch 2 for LEASE ticks. */
inline isAdopted(result) {
  firstGrants = 0; lastGrants = 0; v = 0;
  do
  :: v < VOTERS ->
       if
       :: voterEpoch[v] == 2 && adoptedFor[v] >= LEASE ->
            if :: v <= 2 -> firstGrants++ :: else -> skip fi;
            if :: v >= 1 -> lastGrants++ :: else -> skip fi
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
  :: atomic { voterEpoch[0] < stored -> adoptEpoch(0, stored) }
  :: atomic { voterEpoch[1] < stored -> adoptEpoch(1, stored) }
  :: atomic { voterEpoch[2] < stored -> adoptEpoch(2, stored) }
  :: atomic { voterEpoch[3] < stored -> adoptEpoch(3, stored) }
  /* One tick passes. */
  :: atomic {
       v = 0;
       do
       :: v < VOTERS ->
            if :: promiseLeft[v] > 0 -> promiseLeft[v]-- :: else -> skip fi;
            if :: promiseLeft[v] == 0 -> promisedTo[v] = NO_HOLDER :: else -> skip fi;
            if :: h[0].left[v] > 0 -> h[0].left[v]-- :: else -> skip fi;
            if :: h[1].left[v] > 0 -> h[1].left[v]-- :: else -> skip fi;
            if :: adoptedFor[v] < LEASE -> adoptedFor[v]++ :: else -> skip fi;
            v++
       :: else -> break
       od;
#ifndef NO_FORMER_EXPIRY
       if :: formerLeft[0] > 0 -> formerLeft[0]-- :: else -> skip fi;
       if :: formerLeft[1] > 0 -> formerLeft[1]-- :: else -> skip fi;
#endif
       v = 0 }
  od
}

init {
  atomic { run holder(0); run holder(1); run store() }
}
