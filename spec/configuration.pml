/*
 * Which configuration is in force: publishing by compare-and-set, spread, and the
 * word "accepted".
 *
 * Two operators, one row in the store, two entry VMs. An operator reads, writes
 * if the version is the one it read, and may lose the answer; it then settles by
 * reading. An entry VM takes versions from the store or from its peer, may be
 * cut off, and may be replaced by one that knows nothing. It serves only while
 * it was in touch within the lease. Rules have the names of the code:
 * publishDocument, resolvePublish, configuration_state::applyIfNewer, ::mayServe.
 *
 * Properties: a VM's version never steps back; no two operators win the same
 * version; a lost answer is settled truly; "accepted" is said only when no VM
 * serves an older version.
 *
 * mutant: BLIND_WRITE     the write does not compare the version
 * mutant: STEP_BACK       a VM takes any version that a peer offers
 * mutant: ASSUME_PUBLISHED a lost answer counts as published
 * mutant: NO_LEASE        a VM that is cut off goes on serving
 * mutant: EXPIRED_PEER    a peer without the right to serve extends the right
 * mutant: READY_EMPTY     a replaced VM serves before it knows a version
 */
#define LEASE 2
#define HORIZON 6
#define NOBODY 2

byte now = 0;
byte rowVersion = 1;
byte rowWriter = NOBODY;
byte winnerOf[5] = NOBODY;

byte version[2] = 1;
byte leaseRenewedAt[2] = 0;
bool cut[2];
bool fresh[2];     /* replaced, and not yet told a version */
bool replacedOnce;

byte published[2]; /* version that operator i was told it published; 0 none */
byte acceptedVersion = 0;

/* The right to serve, as the operator's command reckons with it. */
inline hasRight(v, result) {
  result = (!fresh[v] && now < leaseRenewedAt[v] + LEASE)
}

/* configuration_state::mayServe, as the VM judges. */
inline serves(v, result) {
#ifdef NO_LEASE
  result = !fresh[v];
#else
#ifdef READY_EMPTY
  result = (now < leaseRenewedAt[v] + LEASE);
#else
  result = (!fresh[v] && now < leaseRenewedAt[v] + LEASE);
#endif
#endif
}

bool s0, s1;

proctype operator(byte me) {
  byte base, wrote;
  bool lost;
  atomic { base = rowVersion }
  atomic {
#ifdef BLIND_WRITE
    if
    :: true ->
#else
    if
    :: rowVersion == base ->
#endif
         rowVersion = base + 1; rowWriter = me; wrote = base + 1;
         assert(winnerOf[wrote] == NOBODY);
         winnerOf[wrote] = me;
         if :: lost = true :: lost = false fi
#ifndef BLIND_WRITE
    :: else ->
         wrote = 0;
         if :: lost = true :: lost = false fi
#endif
    fi
  }
  atomic {
    if
    :: !lost -> published[me] = wrote
    :: lost ->
#ifdef ASSUME_PUBLISHED
         published[me] = base + 1
#else
         /* resolvePublish: the row remembers the changes before it too */
         if
         :: base + 1 < 5 && winnerOf[base + 1] == me -> published[me] = base + 1
         :: else -> published[me] = 0
         fi
#endif
    fi;
    assert(published[me] == 0 || winnerOf[published[me]] == me);
    wrote = 0; base = 0; lost = false
  }
  /* awaitEverywhere: in force on each VM, but for one that serves no more */
  do
  :: atomic { published[me] != 0 && acceptedVersion < published[me] ->
       hasRight(0, s0); hasRight(1, s1);
       if
       :: (version[0] >= published[me] && (version[1] >= published[me] || !s1)) || (version[1] >= published[me] && !s0) ->
            acceptedVersion = published[me]
       :: else -> skip
       fi; s0 = false; s1 = false }
  :: break
  od
}

proctype vm(byte me) {
  do
  /* the store answers */
  :: atomic { !cut[me] && now < HORIZON ->
       if
       :: rowVersion > version[me] || fresh[me] -> version[me] = rowVersion
       :: else -> skip
       fi;
       fresh[me] = false; leaseRenewedAt[me] = now }
  /* a peer that may serve itself answers: configuration_state::applyIfNewer */
  :: atomic { !cut[0] && !cut[1] && now < HORIZON ->
#ifdef EXPIRED_PEER
       s1 = !fresh[1 - me];
#else
       hasRight(1 - me, s1);
#endif
       if
       :: !s1 -> skip
       :: else ->
#ifdef STEP_BACK
       assert(version[1 - me] >= version[me]);
       version[me] = version[1 - me]
#else
       if
       :: version[1 - me] > version[me] -> version[me] = version[1 - me]
       :: else -> skip
       fi
#endif
            if
            :: version[me] == version[1 - me] -> fresh[me] = false; leaseRenewedAt[me] = now
            :: else -> skip
            fi
       fi; s1 = false }
  /* it serves: never below a version that was accepted */
  :: atomic { serves(me, s0);
       if :: s0 -> assert(version[me] >= acceptedVersion) :: else -> skip fi; s0 = false }
  :: now >= HORIZON -> break
  od
}

proctype environment() {
  do
  :: atomic { now < HORIZON -> now++ }
  :: atomic { !cut[0] -> cut[0] = true }
  :: atomic { cut[0] -> cut[0] = false }
  :: atomic { !replacedOnce ->
       replacedOnce = true; fresh[1] = true; version[1] = 0;
       leaseRenewedAt[1] = now }
  :: now >= HORIZON -> break
  od
}

init {
  atomic { run operator(0); run operator(1); run vm(0); run vm(1); run environment() }
}
