/**
 * DOC: successor - which instance keeps the answers of a stopped instance
 *
 * Every instance that has a record of a successor sends the record along with
 * its heartbeats, so that an instance that restarted gets it again.  A record
 * expires together with the answers.
 */
#ifndef BM_SUCCESSOR_H
#define BM_SUCCESSOR_H

#include "entry_state.h"

/** successors_new() - ends the process when memory is out */
struct successors *successors_new(void);
void successors_free(struct successors *m);

/** successors_set() - records that the answers of @incarnation of @member are
 * kept by @successor_incarnation of @successor, for at most @left_us */
void successors_set(struct entry *e, struct name member, uint64_t incarnation,
                    struct name successor, uint64_t successor_incarnation,
                    int64_t left_us);

/** successors_follow() - replaces *@at and *@incarnation by the last known
 * successor; false if there is none */
bool successors_follow(const struct entry *e, struct name *at,
                       uint64_t *incarnation);

/** successors_list() - allocates the records to send now in *@out, which the
 * caller frees; returns their number.  *@out may be unchanged if 0. */
size_t successors_list(const struct entry *e, struct rec_moved **out);

/** successors_send() - sends the records to @to along with a heartbeat, if
 * there are any */
void successors_send(struct entry *e, struct name to);

/** successors_on_message() - handles MOVES */
void successors_on_message(struct entry *e, struct name from,
                           const struct rec_moves *m);

#endif
