/**
 * DOC: successor - which instance keeps the answers of one that stopped
 *
 * Told with the heartbeats by whoever knows, so that an instance that
 * restarted learns it again, and forgotten when the answers are.
 */
#ifndef BM_SUCCESSOR_H
#define BM_SUCCESSOR_H

#include "entry_state.h"

struct successors *successors_new(void);
void successors_free(struct successors *m);

/** successors_set() - the answers of that incarnation of @member are at that
 * incarnation of @successor, for @left_us at most */
void successors_set(struct entry *e, struct name member, uint64_t incarnation,
                    struct name successor, uint64_t successor_incarnation,
                    int64_t left_us);

/** successors_follow() - follows *@at in *@incarnation to the last successor
 * known; false where there is none */
bool successors_follow(const struct entry *e, struct name *at,
                       uint64_t *incarnation);

/** successors_list() - what is to be told now, from malloc(); returns how many
 */
size_t successors_list(const struct entry *e, struct rec_moved **out);

/** successors_send() - goes with each heartbeat; nothing where nothing moved
 */
void successors_send(struct entry *e, struct name to);

/** successors_on_message() - MOVES */
void successors_on_message(struct entry *e, struct name from,
                           const struct rec_moves *m);

#endif
