/* Revision of the configuration at two readers, with two platform replicas.
 *
 * Replicas may lag behind the published revision. Readers ask any replica or each
 * other. Property: the revision that a reader holds never decreases.
 *
 * -DNO_ORDER : a reader accepts every revision that it receives, also older ones.
 */

#define LAST 3

byte published = 1;
byte replica[2];
byte reader[2];
byte highest[2];        /* highest revision that each reader has held */
bool reverted = false;

inline accept(who, value) {
  skip;
#ifdef NO_ORDER
  reader[who] = value;
#else
  if
  :: value > reader[who] -> reader[who] = value
  :: else -> skip
  fi;
#endif
  if
  :: reader[who] < highest[who] -> reverted = true
  :: else -> highest[who] = reader[who]
  fi
}

active proctype environment() {
  do
  :: atomic { published < LAST -> published++ }
  :: atomic { replica[0] < published -> replica[0]++ }
  :: atomic { replica[1] < published -> replica[1]++ }
  :: atomic { accept(0, replica[0]) }
  :: atomic { accept(0, replica[1]) }
  :: atomic { accept(1, replica[0]) }
  :: atomic { accept(1, reader[0]) }
  :: atomic { accept(0, reader[1]) }
  :: published == LAST && reader[0] == LAST && reader[1] == LAST -> break
  od
}

ltl never_reverts { [] !reverted }
