/*
 * Publishing of a configuration by compare-and-set, its propagation to the entry
 * VMs, and the report of a version as "accepted".
 *
 * The model has two operators, one store row and two entry VMs. An operator reads
 * the row, writes it if the version is unchanged, and may not receive the
 * response; it then reads the row to determine the outcome. An entry VM receives
 * versions from the store or from its peer, may be partitioned, and may be
 * replaced by a VM without a configuration. It serves only while its
 * configuration lease is valid. Rules have the names of the code:
 * publishDocument, resolvePublish, configuration_state::applyIfNewer, ::mayServe.
 *
 * Properties: the version of a VM never decreases; no two operators publish the
 * same version; the outcome read after a lost response is correct; a version is
 * accepted only when no VM serves an older one.
 *
 * mutant: BLIND_WRITE     the write does not compare the version
 * mutant: STEP_BACK       a VM accepts any version from a peer
 * mutant: ASSUME_PUBLISHED a lost response counts as published
 * mutant: NO_LEASE        a partitioned VM continues to serve
 * mutant: EXPIRED_PEER    a peer with an expired lease renews the lease
 * mutant: READY_EMPTY     a replaced VM serves before it has a version
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
bool fresh[2];     /* replaced and without a version */
bool replacedOnce;

byte published[2]; /* version reported as published to operator i; 0: none */
byte acceptedVersion = 0;

/* Whether a VM may serve, as computed by the operator's command. */
inline hasRight(v, result) {
  result = (!fresh[v] && now < leaseRenewedAt[v] + LEASE)
}

/* configuration_state::mayServe, as computed by the VM. */
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
         /* resolvePublish: the row also contains earlier changes */
         if
         :: base + 1 < 5 && winnerOf[base + 1] == me -> published[me] = base + 1
         :: else -> published[me] = 0
         fi
#endif
    fi;
    assert(published[me] == 0 || winnerOf[published[me]] == me);
    wrote = 0; base = 0; lost = false
  }
  /* awaitEverywhere: active on each VM, except one that no longer serves */
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
  /* The store responds. */
  :: atomic { !cut[me] && now < HORIZON ->
       if
       :: rowVersion > version[me] || fresh[me] -> version[me] = rowVersion
       :: else -> skip
       fi;
       fresh[me] = false; leaseRenewedAt[me] = now }
  /* A peer that may serve responds: configuration_state::applyIfNewer. */
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
  /* It never serves a version older than the accepted one. */
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
