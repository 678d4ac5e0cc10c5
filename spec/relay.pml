/*
 * Relay of the store's changes to entry VMs that do not read the store: order and
 * freshness.
 *
 * The store numbers the changes of two tables in one sequence. One VM reads the
 * store and sends updates to another, which would relay them in the same way. An
 * update carries, for one table, the changes after the version that the receiver is
 * assumed to have. It may be delayed, and the receiver may have been replaced by a VM
 * without state. Ages are exact here; on the wire, the transit time of a message is
 * not counted. Rules have the names of the code: store_mirror::apply,
 * store_mirror::confirmUpTo, store_mirror::updateSince.
 *
 * Properties: a VM that is complete up to a version has every change up to it; a
 * replica that is current as of a time has every change written before that time.
 * Positions only increase by construction.
 *
 * mutant: APPLY_GAP      an update that starts after the receiver's position is applied
 * mutant: CONFIRM_ALL    an answer about one table also confirms an incomplete one
 * mutant: STAMP_ANSWER   a table is current as of the arrival of the store's answer
 * mutant: STAMP_RECEIPT  a table is current as of the receipt of a peer's update
 */
#define HORIZON 2
#define CHANGES 2
#define VMS 2
#define AT(vm, table) ((vm) * 2 + (table))

byte now = 0;
byte ver = 0;
byte tableOf[CHANGES + 1];
byte writtenAt[CHANGES + 1];

byte position[VMS * 2];
byte asOf[VMS * 2];
byte knownChanges[VMS]; /* one bit per change */
byte assumedPosition[VMS * 2]; /* the sender's view of this VM's position */
bool replaced;

/* At most one update to each VM but the reader is in flight. */
bool inFlight[VMS];
byte msgTable[VMS], msgSince[VMS], msgPosition[VMS], msgAsOf[VMS], msgRows[VMS];

byte i, t;

/* Every change up to a table's position is known, and so is every change written
 * before the time as of which the table is current. */
inline check(who) {
  for (t : 0 .. 1) {
    for (i : 1 .. ver) {
      assert(tableOf[i] != t || i > position[AT(who, t)] || (knownChanges[who] & (1 << i)));
      assert(tableOf[i] != t || writtenAt[i] >= asOf[AT(who, t)] || (knownChanges[who] & (1 << i)))
    }
  }
  i = 0; t = 0
}

inline raise(whose, which, upTo, heldAt) {
  if :: upTo > position[AT(whose, which)] -> position[AT(whose, which)] = upTo :: else -> skip fi;
  if :: heldAt > asOf[AT(whose, which)] -> asOf[AT(whose, which)] = heldAt :: else -> skip fi
}

/* The reader sends a request, the store answers from its state at a later time, and
 * the answer arrives. */
proctype reader() {
  byte tab, requestedAt, newest, rows;
  do
  :: now < HORIZON ->
       atomic { if :: tab = 0 :: tab = 1 fi; requestedAt = now }
       atomic {
         newest = ver; rows = 0;
         for (i : 1 .. ver) {
           if
           :: tableOf[i] == tab && i > position[AT(0, tab)] -> rows = rows | (1 << i)
           :: else -> skip
           fi
         }
         i = 0
       }
       atomic {
#ifdef STAMP_ANSWER
         requestedAt = now;
#endif
         knownChanges[0] = knownChanges[0] | rows;
         raise(0, tab, newest, requestedAt);
         /* store_mirror::confirmUpTo */
#ifdef CONFIRM_ALL
         raise(0, 1 - tab, position[AT(0, 1 - tab)], requestedAt);
#else
         if
         :: position[AT(0, 1 - tab)] >= newest -> raise(0, 1 - tab, newest, requestedAt)
         :: else -> skip
         fi;
#endif
         check(0); rows = 0; newest = 0; requestedAt = 0; tab = 0
       }
  :: now >= HORIZON -> break
  od
}

/* VM me - 1 sends an update to VM me: store_mirror::updateSince. */
proctype relay(byte me) {
  do
  :: atomic { now < HORIZON && !inFlight[me] ->
       if :: msgTable[me] = 0 :: msgTable[me] = 1 fi;
       msgSince[me] = assumedPosition[AT(me, msgTable[me])];
       msgPosition[me] = position[AT(me - 1, msgTable[me])];
       msgAsOf[me] = asOf[AT(me - 1, msgTable[me])];
       msgRows[me] = 0;
       for (i : 1 .. ver) {
         if
         :: tableOf[i] == msgTable[me] && i > msgSince[me] && (knownChanges[me - 1] & (1 << i)) ->
              msgRows[me] = msgRows[me] | (1 << i)
         :: else -> skip
         fi
       }
       i = 0; inFlight[me] = true }
  /* store_mirror::apply */
  :: atomic { inFlight[me] ->
#ifndef APPLY_GAP
       if
       :: msgSince[me] > position[AT(me, msgTable[me])] -> skip
       :: else ->
#endif
            knownChanges[me] = knownChanges[me] | msgRows[me];
#ifdef STAMP_RECEIPT
            msgAsOf[me] = now;
#endif
            raise(me, msgTable[me], msgPosition[me], msgAsOf[me]);
            check(me);
#ifndef APPLY_GAP
       fi;
#endif
       inFlight[me] = false; msgTable[me] = 0; msgSince[me] = 0; msgPosition[me] = 0; msgAsOf[me] = 0; msgRows[me] = 0 }
  /* VM me reports its positions; the reply is modelled as a separate update */
  :: atomic { now < HORIZON ->
       assumedPosition[AT(me, 0)] = position[AT(me, 0)]; assumedPosition[AT(me, 1)] = position[AT(me, 1)] }
  :: now >= HORIZON && !inFlight[me] -> break
  od
}

proctype environment() {
  do
  :: atomic { now < HORIZON -> now++ }
  :: atomic { ver < CHANGES && now < HORIZON ->
       ver++; writtenAt[ver] = now;
       if :: tableOf[ver] = 0 :: tableOf[ver] = 1 fi }
  :: atomic { !replaced && now < HORIZON ->
       replaced = true;
       knownChanges[1] = 0; position[2] = 0; position[3] = 0; asOf[2] = 0; asOf[3] = 0 }
  :: now >= HORIZON -> break
  od
}

init {
  atomic { run reader(); run relay(1); run environment() }
}
