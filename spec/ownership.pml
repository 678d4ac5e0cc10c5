/*
 * Ownership of a server group: leases granted by a majority of voters.
 *
 * Three voters, two holders, one subject. Time is discrete. A grant by a voter
 * and the lease at the holder last LEASE ticks. A message may be delayed for
 * any time or be lost. A holder may be paused at any point and reads its clock
 * right before it sends. Two voters may terminate. The platform's list proves
 * it, and they leave the majority WAIT ticks later. An owner may hand over: it
 * stops sending first and then releases.
 *
 * To limit the number of states, only holder 0 hands over and only its replies
 * are delayed. Holder 1 competes for the subject and receives its replies at
 * once.
 *
 * Rules have the names of the code: lease_voter::handleRequest,
 * lease_holder::onReply, isQuorum, termination_tracker::hasTerminated.
 *
 * Property: whenever a holder sends, the other owns nothing by its own rules
 * ("at most one dispatcher").
 *
 * mutant: RECEIPT_TIME    the lease counts from the receipt of the reply
 * mutant: EARLY_GRANT     a voter grants a subject before its lease expired
 * mutant: NO_RECHECK      a holder does not read its clock before it sends
 * mutant: RELEASE_FIRST   a handover releases before it stops sending
 * mutant: EARLY_TERMINATION a terminated voter leaves the majority at once
 * mutant: MINORITY        one grant is a quorum
 * mutant: STALE_REPLY     a holder accepts the reply to an outdated request
 */
#define LEASE 2
#define WAIT 2
#define VOTERS 3
#define NONE 2
#define HORIZON 5

byte now = 0;

/* The holder to which each voter granted the subject, and until when. */
byte promisedTo[VOTERS];
byte promiseEnd[VOTERS];
bool terminated[VOTERS];
byte terminatedAt[VOTERS];

/* State of each holder by voter: the end of its grant (0: none), and the reply
 * in flight. A newer request replaces an older reply. */
typedef holder_state {
  byte grantEnd[VOTERS];
  bool replyInFlight[VOTERS];
  byte requestSentAt[VOTERS]; /* when the request was sent */
  bool replyStale[VOTERS]; /* a newer request was sent */
  bool desired;
  bool desiredAgain;
#ifdef NO_RECHECK
  bool checked;
#endif
};
holder_state h[2];

/* termination_tracker::hasTerminated. The list that holder 0 reads is never
 * updated, that of holder 1 is always current. */
inline eligible(i, v, result) {
#ifdef EARLY_TERMINATION
  result = (i == 0 || !terminated[v]);
#else
  result = (i == 0 || !(terminated[v] && now >= terminatedAt[v] + WAIT));
#endif
}

/* isQuorum: more than half of the voters that are not known to have
 * terminated. */
byte granted, voters, vv;
bool ok;
inline owns(i, result) {
  granted = 0; voters = 0; vv = 0;
  do
  :: vv < VOTERS ->
       eligible(i, vv, ok);
       if
       :: ok ->
            voters++;
            if
            :: h[i].grantEnd[vv] > now -> granted++
            :: else -> skip
            fi
       :: else -> skip
       fi;
       vv++
  :: else -> break
  od;
  vv = 0; ok = false;
#ifdef MINORITY
  result = (granted >= 1);
#else
  result = (2 * granted > voters);
#endif
  granted = 0; voters = 0
}

inline heldByOther(v, i, result) {
#ifdef EARLY_GRANT
  result = false;
#else
  result = (promisedTo[v] != NONE && promisedTo[v] != i && promiseEnd[v] > now);
#endif
}

/* One step of holder i with voter v: a request with its grant, or the receipt
 * of a reply. */
inline exchange(i, v) {
  if
  /* lease_holder::poll and lease_voter::handleRequest in one step: a delayed
   * request only starts the grant later, and a request that arrives out of
   * order is not accepted. */
  :: atomic { h[i].desired && now < HORIZON && !terminated[v] ->
       heldByOther(v, i, held);
       if
       :: held -> skip
       :: else ->
            promisedTo[v] = i; promiseEnd[v] = now + LEASE;
            if
            :: i == 0 ->
                 h[0].replyInFlight[v] = true; h[0].requestSentAt[v] = now;
                 h[0].replyStale[v] = false
            :: else -> h[i].grantEnd[v] = now + LEASE
            fi
       fi; held = false }
  /* lease_holder::onReply */
  :: atomic { i == 0 && h[i].replyInFlight[v] ->
       if
#ifdef STALE_REPLY
       :: true ->
#else
       :: h[i].desired && !h[i].replyStale[v] ->
#endif
#ifdef RECEIPT_TIME
            h[i].grantEnd[v] = now + LEASE
#else
            h[i].grantEnd[v] = h[i].requestSentAt[v] + LEASE
#endif
#ifndef STALE_REPLY
       :: else -> skip
#endif
       fi;
       h[i].replyInFlight[v] = false; h[i].requestSentAt[v] = 0; h[i].replyStale[v] = false }
  fi
}

bool held, mine, otherOwns;
byte other;

/* The holder sends. The other holder must own nothing. */
inline dispatch(i) {
  other = 1 - i;
  owns(other, otherOwns);
  assert(!otherOwns);
  otherOwns = false; other = 0
}

inline stopSending(i) {
  h[i].desired = false;
  h[i].grantEnd[0] = 0; h[i].grantEnd[1] = 0; h[i].grantEnd[2] = 0;
  h[i].replyStale[0] = h[i].replyInFlight[0];
  h[i].replyStale[1] = h[i].replyInFlight[1];
  h[i].replyStale[2] = h[i].replyInFlight[2]
}

inline releaseAll(i) {
  vv = 0;
  do
  :: vv < VOTERS ->
       if
       :: promisedTo[vv] == i && !terminated[vv] -> promisedTo[vv] = NONE; promiseEnd[vv] = 0
       :: else -> skip
       fi;
       vv++
  :: else -> break
  od;
  vv = 0
}

proctype holder(byte i) {
  do
  :: exchange(i, 0)
  :: exchange(i, 1)
  :: exchange(i, 2)
  /* group_shard::attempt: the clock is read right before sending. */
#ifdef NO_RECHECK
  :: atomic { owns(i, mine); if :: mine -> h[i].checked = true :: else -> skip fi; mine = false }
  :: atomic { h[i].checked -> h[i].checked = false; dispatch(i) }
#else
  :: atomic { owns(i, mine); if :: mine -> dispatch(i) :: else -> skip fi; mine = false }
#endif
  /* owned_subjects::handOver: stop sending, then release at every voter. */
#ifdef RELEASE_FIRST
  :: atomic { i == 0 && h[i].desired -> releaseAll(i) }
  :: atomic { i == 0 && h[i].desired -> stopSending(i) }
#else
  :: atomic { i == 0 && h[i].desired -> stopSending(i) }
  :: atomic { i == 0 && !h[i].desired -> releaseAll(i) }
#endif
  /* This holder becomes the preferred owner again. */
  :: atomic { !h[i].desired && !h[i].desiredAgain ->
       h[i].desiredAgain = true; h[i].desired = true }
  :: now >= HORIZON -> break
  od
}

/* Time passes, and two voters may terminate. */
proctype environment() {
  do
  :: atomic { now < HORIZON ->
       now++; vv = 0;
       /* Expired grants are reset to one value, to merge equivalent states. */
       do
       :: vv < VOTERS ->
            if :: promiseEnd[vv] <= now -> promisedTo[vv] = NONE; promiseEnd[vv] = 0 :: else -> skip fi;
            if :: h[0].grantEnd[vv] <= now -> h[0].grantEnd[vv] = 0 :: else -> skip fi;
            if :: h[1].grantEnd[vv] <= now -> h[1].grantEnd[vv] = 0 :: else -> skip fi;
            vv++
       :: else -> break
       od;
       vv = 0 }
  :: atomic { !terminated[0] -> terminated[0] = true; terminatedAt[0] = now }
  :: atomic { !terminated[1] -> terminated[1] = true; terminatedAt[1] = now }
  :: now >= HORIZON -> break
  od
}

init {
  atomic {
    promisedTo[0] = NONE; promisedTo[1] = NONE; promisedTo[2] = NONE;
    h[0].desired = true; h[1].desired = true;
    run holder(0); run holder(1); run environment()
  }
}
