/* Replication of registry changes by gossiped deltas.

   The registry holds two items. Each replica holds, for each item, the revision of
   its value, and the revision up to which it holds every change. A delta carries
   (after, upto, the revisions of the items that changed in between) and may be
   lost, duplicated or delayed. Properties: the revision of a held value never
   decreases, and a replica that claims to be complete up to a revision holds the
   values of that revision or newer ones.

   -DTRUST_GAPS: a receiver advances its revision although the delta begins after
   the revision that it holds. spin finds a replica that claims to be complete and
   is not.
   -DNO_ORDER: a receiver accepts an older revision of an item. spin finds a value
   that reverts. */

#define REPLICAS 2
#define LAST 3

byte newest = 1;            /* the registry's revision; each one changes item 0 or 1 */
byte changed[2];            /* newest revision of each item */
byte item0_at[10];          /* item 0's revision as of each registry revision */
byte item1_at[10];

byte complete[REPLICAS];    /* revision up to which a replica holds every change */
byte held0[REPLICAS];       /* revision of item 0 that a replica holds */
byte held1[REPLICAS];

bool false_claim = false;   /* a replica claimed to be complete and was not */
bool reverted = false;

ltl complete_is_true { [] !false_claim }
ltl value_never_reverts { [] !reverted }

/* to, after, upto, revisions of items 0 and 1 (0 if unchanged) */
chan deltas = [2] of { byte, byte, byte, byte, byte };

inline apply_delta(me, after, upto, rev0, rev1) {
    atomic {
#ifdef NO_ORDER
        if :: rev0 > 0 -> reverted = reverted || rev0 < held0[me]; held0[me] = rev0 :: else fi;
        if :: rev1 > 0 -> reverted = reverted || rev1 < held1[me]; held1[me] = rev1 :: else fi;
#else
        if :: rev0 > held0[me] -> held0[me] = rev0 :: else fi;
        if :: rev1 > held1[me] -> held1[me] = rev1 :: else fi;
#endif
#ifdef TRUST_GAPS
        if :: upto > complete[me] -> complete[me] = upto :: else fi;
#else
        if :: after <= complete[me] && upto > complete[me] -> complete[me] = upto
           :: else
        fi;
#endif
        if
        :: held0[me] < item0_at[complete[me]] || held1[me] < item1_at[complete[me]] ->
            false_claim = true
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
            item0_at[newest] = changed[0];
            item1_at[newest] = changed[1]
        }
    :: newest == LAST -> break
    od
}

active [REPLICAS] proctype replica() {
    byte me = _pid - 1;
    byte to, after, upto, rev0, rev1;
    byte steps = 0;
    do
    :: steps < 3 ->
        steps++;
        if
        :: atomic {             /* read the changes since the held revision */
            rev0 = 0; rev1 = 0;
            if :: changed[0] > complete[me] -> rev0 = changed[0] :: else fi;
            if :: changed[1] > complete[me] -> rev1 = changed[1] :: else fi;
            after = complete[me]; upto = newest
           };
           apply_delta(me, after, upto, rev0, rev1)
        :: nfull(deltas) ->     /* send a delta from any revision on to a replica */
           atomic {
            select (to : 0 .. 1);
            select (after : 0 .. 2);
            if :: after <= complete[me] :: else -> after = complete[me] fi;
            upto = complete[me];
            rev0 = 0; rev1 = 0;
            if :: held0[me] > after -> rev0 = held0[me] :: else fi;
            if :: held1[me] > after -> rev1 = held1[me] :: else fi;
            deltas ! to, after, upto, rev0, rev1
           }
        :: deltas ?? [eval(me), after, upto, rev0, rev1] ->
           deltas ?? eval(me), after, upto, rev0, rev1;
           apply_delta(me, after, upto, rev0, rev1);
           if                   /* a duplicate may follow later */
           :: nfull(deltas) -> deltas ! me, after, upto, rev0, rev1
           :: skip
           fi
        :: deltas ?? [eval(me), after, upto, rev0, rev1] ->
           deltas ?? eval(me), after, upto, rev0, rev1             /* lost */
        fi
    :: steps == 3 -> break
    od
}
