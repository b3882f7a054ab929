/**
 * DOC: served_text - published texts as followers get them
 *
 * Rendered for the followers, packed against what they have, and kept, since
 * all followers ask for the same.
 */
#ifndef BM_SERVED_TEXT_H
#define BM_SERVED_TEXT_H

#include "fsm.h"

/** control_render - what followers get of a published text; NULL where it
 * can't be read */
typedef struct blob *control_render(const struct blob *text);

enum { SERVED_TEXTS = 2 }; /* the newest, and the one before */

/** struct rendered_text - what followers get of version @version */
struct rendered_text {
    uint64_t version;
    struct blob *text;
};

/** struct packed_text - that of version @version, packed against that of
 * @from */
struct packed_text {
    uint64_t version;
    uint64_t from; /* 0: none */
    struct blob *data;
};

/** struct served_texts - the kept ones; zeroed at first */
struct served_texts {
    struct rendered_text rendered[SERVED_TEXTS];
    size_t next_rendered;
    struct packed_text packed[SERVED_TEXTS];
    size_t next_packed;
};

/** served_text_fill() - the newest text of @f into a reply, for a follower
 * that has that of version @have; 0: none.  @render NULL: as it was published.
 */
void served_text_fill(struct served_texts *s, const struct fsm *f,
                      control_render *render, uint64_t have,
                      struct rec_config_reply *r);

void served_texts_free(struct served_texts *s);

#endif
