/**
 * DOC: moved - which instance keeps the answers of one that stopped
 *
 * Told with the heartbeats by whoever knows, so that an instance that
 * restarted learns it again, and forgotten when the answers are.
 */
#ifndef BM_MOVED_H
#define BM_MOVED_H

#include "entry_state.h"

struct moved *moved_new(void);
void moved_free(struct moved *m);

/** moved_set() - the answers of that incarnation of @member are at that
 * incarnation of @successor, for @left_us at most */
void moved_set(struct entry *e, struct name member, uint64_t incarnation,
               struct name successor, uint64_t successor_incarnation,
               int64_t left_us);

/** moved_find() - follows *@at in *@incarnation to the last successor known;
 * false where there is none */
bool moved_find(const struct entry *e, struct name *at, uint64_t *incarnation);

/** moved_tell() - what is to be told now, from malloc(); returns how many */
size_t moved_tell(const struct entry *e, struct rec_moved **out);

/** moved_send() - goes with each heartbeat; nothing where nothing moved */
void moved_send(struct entry *e, struct name to);

/** moved_on_message() - MOVES */
void moved_on_message(struct entry *e, struct name from,
                      const struct rec_moves *m);

#endif
