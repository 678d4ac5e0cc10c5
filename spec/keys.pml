/*
 * Idempotency keys: at most one run of a key in the whole fleet.
 *
 * Three requests with one key arrive at either of two nodes, which own the
 * key's partition one after the other. The first owner may fail or hand over.
 * The second owner then has no entry of the key, a replica of it, or the whole
 * table. The reply to a claim may be delayed, so that a request runs long after
 * its claim was granted.
 *
 * Rules have the names of the code: key_table::claim, ::settle, ::takeOver,
 * ::importEntries.
 *
 * Property: the key runs at most once, and "not run" is reported only for a
 * request that did not run.
 *
 * mutant: NO_FLOOR       the successor of a failed owner runs unknown keys
 * mutant: CLAIM_AFTER_LOSS a paused former owner continues to grant claims
 * mutant: FREE_UNKNOWN   a run with unknown outcome releases the key
 * mutant: ANY_SETTLEMENT a settlement of an earlier claim releases the key
 */
#define NO_CLAIM 9

/* The table of each owner: the state of the key, and its claim. */
mtype = { Absent, Running, Answered, Unknown };
mtype table[2] = Absent;
byte claimOf[2] = NO_CLAIM;
bool floorRaised[2];      /* keys of this age without an entry are refused */
byte owner = 0;           /* owner of the partition; the other grants nothing */
bool ownerChanged;
mtype copy = Absent;      /* replica of the first owner's entry at the second */
byte copyClaim = NO_CLAIM;

byte runs = 0;
byte settledClaim = NO_CLAIM; /* claim that was settled as not run */

/* key_table::claim of claim c at node n. The result is 0 refused, 1 run, 2
 * replay or 3 wait. */
inline claimAt(n, c, result) {
  if
#ifdef CLAIM_AFTER_LOSS
  :: n != owner && n == 1 -> result = 3
#else
  :: n != owner -> result = 3
#endif
  :: else ->
       if
       :: table[n] == Absent && floorRaised[n] -> result = 0
       :: table[n] == Absent && !floorRaised[n] ->
            table[n] = Running; claimOf[n] = c; result = 1;
            /* The replica may or may not arrive. */
            if :: n == 0 && !ownerChanged -> copy = Running; copyClaim = c :: true fi
       :: table[n] == Running -> result = 3
       :: table[n] == Answered -> result = 2
       :: table[n] == Unknown -> result = 0
       fi
  fi
}

/* key_table::settle at node n. The outcome is 0 not run, 1 answered or 2
 * unknown. */
inline settleAt(n, c, outcome) {
  if
#ifdef ANY_SETTLEMENT
  :: table[n] != Absent ->
#else
  :: table[n] != Absent && claimOf[n] == c ->
#endif
       if
       :: outcome == 0 -> table[n] = Absent; claimOf[n] = NO_CLAIM
       :: outcome == 1 -> table[n] = Answered
       :: outcome == 2 ->
#ifdef FREE_UNKNOWN
            table[n] = Absent; claimOf[n] = NO_CLAIM
#else
            table[n] = Unknown
#endif
       fi
  :: else -> skip
  fi
}

/* One request: claim, dispatch and settle. It is retried after "not run" or
 * "wait". */
proctype request(byte me) {
  byte decision, outcome, target, retries;
  bool ran;
again:
  atomic { if :: target = 0 :: target = 1 fi }
  atomic { claimAt(target, me * 2 + retries, decision) }
  if
  :: decision == 1 ->
       atomic {
         /* The request runs and is answered, runs and its response is lost, or
          * does not run, which is either proved or unknown. */
         if
         :: runs++; ran = true; outcome = 1
         :: runs++; ran = true; outcome = 2
         :: outcome = 0
         :: outcome = 2
         fi;
         if :: outcome == 0 -> settledClaim = me * 2 + retries :: else -> skip fi;
         assert(runs <= 1);
         assert(outcome != 0 || !ran)
       }
       /* The settlement reaches one owner, possibly late, or is lost.
        * repeatedSettlement sends it again. */
       if
       :: true -> atomic { settleAt(0, me * 2 + retries, outcome) }
       :: true -> atomic { settleAt(1, me * 2 + retries, outcome) }
       :: true
       fi;
       if
       :: outcome == 0 && retries == 0 -> retries = 1; goto again
       :: else -> skip
       fi
  :: decision == 3 && retries == 0 -> retries = 1; goto again
  :: else -> skip
  fi
}

/* A settlement is repeated because its reply was lost. */
proctype repeatedSettlement() {
  byte n;
  atomic { if :: n = 0 :: n = 1 fi }
  atomic { settledClaim != NO_CLAIM -> settleAt(n, settledClaim, 0) }
}

/* The first owner fails (or is paused beyond its lease), or hands over. */
proctype ownerChange() {
  if
  :: atomic {
       owner = 1; ownerChanged = true;
#ifndef NO_FLOOR
       floorRaised[1] = true;
#endif
       /* key_table::importEntries with OwnerLost */
       if
       :: copy == Running -> table[1] = Unknown; claimOf[1] = copyClaim
       :: copy == Answered -> table[1] = Answered; claimOf[1] = copyClaim
       :: else -> skip
       fi }
  :: atomic {
       owner = 1; ownerChanged = true;
       table[1] = table[0]; claimOf[1] = claimOf[0] }
  :: true
  fi
}

init {
  atomic { run request(0); run request(1); run request(2); run ownerChange();
           run repeatedSettlement() }
}
