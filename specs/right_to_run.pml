/* The exclusive right to run a non-idempotent request.
 *
 * One request, of which two copies may arrive, and three processes: executor 0,
 * which issued the token; executor 1, to which it may hand over its rights; and a
 * process (2) that starts under the name of executor 1 after that has crashed.
 * Messages may be lost, duplicated or delayed, executors crash, and an entry may
 * have any view of which processes are alive. Properties: the request runs at most
 * once, and a request that was refused as "not run" has not run and will not run.
 *
 * -DTIMEOUT_RIGHT  : executor 1 takes over the right once executor 0 seems dead.
 * -DENTRY_REFUSES  : an entry that reaches no executor answers "not run".
 * -DANY_HEIR       : any process with the heir's name accepts a hand-over.
 */

#define ISSUER 0
#define HEIR 1
#define SUCCESSOR 2

byte runs = 0;                  /* number of times that the request was started */
bool refused = false;           /* the caller was told "not run" */
bool alive[3];                  /* whether each process is alive */
bool holds_right[3];            /* whether each process may run the request */
bool claimed[3];                /* whether each process has recorded the request as claimed */
bool stopped[3];                /* whether each process has given up the right */
bool handover_sent = false;     /* a hand-over is in flight */
bool handover_claimed = false;  /* whether it lists the request as claimed */
byte copies_left = 2;           /* copies of the request that may still arrive */
byte duplicates_left = 1;       /* number of times the hand-over may be duplicated */

inline execute(who) {
  if
  :: holds_right[who] && !stopped[who] && !claimed[who] ->
       claimed[who] = true;
       if
       :: runs = runs + 1
       :: refused = true     /* or records the request as refused */
       fi
  :: else -> skip            /* answers "may have run", or the recorded state */
  fi
}

inline accept_handover(who) {
  if
  :: !stopped[who] && !holds_right[who] ->
       holds_right[who] = true;
       claimed[who] = handover_claimed
  :: else -> skip
  fi
}

active proctype environment() {
  alive[ISSUER] = true;
  alive[HEIR] = true;
  holds_right[ISSUER] = true;
  do
  /* A copy arrives at some executor, or is lost. */
  :: atomic { copies_left > 0 && alive[ISSUER] -> copies_left--; execute(ISSUER) }
  :: atomic { copies_left > 0 && alive[HEIR] -> copies_left--; execute(HEIR) }
  :: atomic { copies_left > 0 && alive[SUCCESSOR] -> copies_left--; execute(SUCCESSOR) }
  :: atomic { copies_left > 0 -> copies_left-- }
#ifdef ENTRY_REFUSES
  :: atomic { copies_left > 0 -> copies_left--; refused = true }
#endif
  /* The issuer leaves: it stops permanently, then sends its state. */
  :: atomic { alive[ISSUER] && !stopped[ISSUER] ->
       stopped[ISSUER] = true; handover_sent = true;
       handover_claimed = claimed[ISSUER] }
  /* The hand-over arrives, is duplicated, or is lost. */
  :: atomic { handover_sent && alive[HEIR] ->
       accept_handover(HEIR);
       if
       :: duplicates_left > 0 -> duplicates_left--
       :: handover_sent = false
       fi }
  :: atomic { handover_sent -> handover_sent = false }
#ifdef ANY_HEIR
  :: atomic { handover_sent && alive[SUCCESSOR] ->
       accept_handover(SUCCESSOR); handover_sent = false }
#endif
#ifdef TIMEOUT_RIGHT
  :: atomic { alive[HEIR] && !holds_right[HEIR] -> holds_right[HEIR] = true }
#endif
  /* Crashes; the process that follows the heir starts without its state. */
  :: atomic { alive[ISSUER] -> alive[ISSUER] = false }
  :: atomic { alive[HEIR] -> alive[HEIR] = false; alive[SUCCESSOR] = true }
  :: copies_left == 0 -> break
  od
}

ltl at_most_once { [] (runs <= 1) }
ltl true_refusal { [] !(refused && runs > 0) }
