/* Readers of a registry and the spread of its changes by deltas.

   Each replica holds, for one item, the revision of its value, and the revision
   up to which it holds every change. Deltas carry (after, upto, item's revision)
   and may be lost, doubled or late. Claims: what a replica holds never goes back,
   and a replica that says that it is complete up to a revision holds the newest
   value at that revision.

   -DTRUST_GAPS: a receiver moves its revision although the delta begins after
   what it holds. spin finds a replica that claims to be complete and is not.
   -DNO_ORDER: a receiver takes an older revision of an item. spin finds a value
   that goes back. */

#define REPLICAS 2
#define LAST 3

byte newest = 1;            /* the registry's revision; each changes item 0 or 1 */
byte changed[2];            /* the newest revision of each item */
byte at2[10];               /* item 1's revision as of each revision; item 0 is alike */
byte at1[10];

byte complete[REPLICAS];
byte held1[REPLICAS];
byte held2[REPLICAS];

bool untrue = false;
bool reverted = false;

ltl complete_is_true { [] !untrue }
ltl value_never_reverts { [] !reverted }

chan wire = [2] of { byte, byte, byte, byte, byte };  /* to, after, upto, rev1, rev2 */

inline take(me, after, upto, r1, r2) {
    atomic {
#ifdef NO_ORDER
        if :: r1 > 0 -> reverted = reverted || r1 < held1[me]; held1[me] = r1 :: else fi;
        if :: r2 > 0 -> reverted = reverted || r2 < held2[me]; held2[me] = r2 :: else fi;
#else
        if :: r1 > held1[me] -> held1[me] = r1 :: else fi;
        if :: r2 > held2[me] -> held2[me] = r2 :: else fi;
#endif
#ifdef TRUST_GAPS
        if :: upto > complete[me] -> complete[me] = upto :: else fi;
#else
        if :: after <= complete[me] && upto > complete[me] -> complete[me] = upto
           :: else
        fi;
#endif
        if
        :: held1[me] < at1[complete[me]] || held2[me] < at2[complete[me]] ->
            untrue = true
        :: else
        fi
    }
}

active proctype registry() {
    do
    :: newest < LAST ->
        atomic {
            newest++;
            if :: changed[0] = newest :: changed[1] = newest fi;
            at1[newest] = changed[0];
            at2[newest] = changed[1]
        }
    :: newest == LAST -> break
    od
}

active [REPLICAS] proctype replica() {
    byte me = _pid - 1;
    byte to, after, upto, r1, r2;
    byte steps = 0;
    do
    :: steps < 3 ->
        steps++;
        if
        :: atomic {          /* read what changed after what is held */
            r1 = 0; r2 = 0;
            if :: changed[0] > complete[me] -> r1 = changed[0] :: else fi;
            if :: changed[1] > complete[me] -> r2 = changed[1] :: else fi;
            after = complete[me]; upto = newest
           };
           take(me, after, upto, r1, r2)
        :: nfull(wire) ->    /* tell another one, from any revision on */
           atomic {
            select (to : 0 .. 1);
            select (after : 0 .. 2);
            if :: after <= complete[me] :: else -> after = complete[me] fi;
            upto = complete[me];
            r1 = 0; r2 = 0;
            if :: held1[me] > after -> r1 = held1[me] :: else fi;
            if :: held2[me] > after -> r2 = held2[me] :: else fi;
            wire ! to, after, upto, r1, r2
           }
        :: wire ?? [eval(me), after, upto, r1, r2] ->
           wire ?? eval(me), after, upto, r1, r2;
           take(me, after, upto, r1, r2);
           if
           :: nfull(wire) -> wire ! me, after, upto, r1, r2   /* doubled, late */
           :: skip
           fi
        :: wire ?? [eval(me), after, upto, r1, r2] ->
           wire ?? eval(me), after, upto, r1, r2             /* lost */
        fi
    :: steps == 3 -> break
    od
}
