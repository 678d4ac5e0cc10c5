/*
 * A store that is restored from an older copy, the replica of a VM that reads it, and
 * that of a VM to which the replica is relayed.
 *
 * The store holds one row. After a restore it is in the next era and gives versions out
 * again; a read after a version that it does not have is answered by a snapshot, as is
 * one of another era. Answers and relayed updates may be delayed. Rules have the names
 * of the code: store_mirror::apply, store_client::readChanges.
 *
 * Property: a replica that is current as of a time holds a value that was the store's at
 * that time or later.
 *
 * mutant: ERA_IGNORED  versions are ordered by their number alone
 */
#define HORIZON 3
#define VALUES 4 /* written ones are 1 to VALUES - 1 */
#define ERAS 3
#define FOREVER 255

byte now = 0;
byte era = 1, ver = 1, value = 1;
byte copyVer = 1, copyValue = 1;
byte written = 1;
byte lastAt[VALUES]; /* when a value was the store's for the last time */

byte heldEra[2], heldVer[2], heldValue[2], asOf[2];

bool inFlight;
byte msgEra, msgVer, msgValue, msgAsOf;

inline check(who) {
  assert(heldVer[who] == 0 || lastAt[heldValue[who]] >= asOf[who])
}

/* store_mirror::apply */
inline apply(who, newEra, newVer, newValue, newAsOf) {
  if
#ifdef ERA_IGNORED
  :: newVer > heldVer[who] -> heldVer[who] = newVer; heldValue[who] = newValue
  :: else -> skip
  fi;
  if :: newAsOf > asOf[who] -> asOf[who] = newAsOf :: else -> skip fi;
#else
  :: newEra < heldEra[who] -> skip
  :: else ->
       if
       :: newEra > heldEra[who] || newVer > heldVer[who] ->
            heldEra[who] = newEra; heldVer[who] = newVer; heldValue[who] = newValue
       :: else -> skip
       fi;
       if :: newAsOf > asOf[who] -> asOf[who] = newAsOf :: else -> skip fi
  fi;
#endif
  check(who)
}

proctype reader() {
  byte requestedAt, gotEra, gotVer, gotValue;
  do
  :: now < HORIZON ->
       requestedAt = now;
       atomic { gotEra = era; gotVer = ver; gotValue = value }
       atomic {
         apply(0, gotEra, gotVer, gotValue, requestedAt);
         requestedAt = 0; gotEra = 0; gotVer = 0; gotValue = 0
       }
  :: now >= HORIZON -> break
  od
}

proctype relay() {
  do
  :: atomic { now < HORIZON && !inFlight && heldVer[0] > 0 ->
       msgEra = heldEra[0]; msgVer = heldVer[0]; msgValue = heldValue[0];
       msgAsOf = asOf[0]; inFlight = true }
  :: atomic { inFlight ->
       apply(1, msgEra, msgVer, msgValue, msgAsOf);
       inFlight = false; msgEra = 0; msgVer = 0; msgValue = 0; msgAsOf = 0 }
  :: now >= HORIZON && !inFlight -> break
  od
}

proctype environment() {
  do
  :: atomic { now < HORIZON -> now++ }
  :: atomic { written < VALUES - 1 && now < HORIZON ->
       lastAt[value] = now; written++; ver++; value = written; lastAt[value] = FOREVER }
  :: atomic { now < HORIZON && copyVer < ver -> copyVer = ver; copyValue = value }
  /* The store was away before; the value that it loses was its until now. */
  :: atomic { era < ERAS && now < HORIZON ->
       lastAt[value] = now; era++; ver = copyVer; value = copyValue; lastAt[value] = FOREVER }
  :: now >= HORIZON -> break
  od
}

init {
  atomic { lastAt[1] = FOREVER; run reader(); run relay(); run environment() }
}
