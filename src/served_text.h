/**
 * DOC: served_text - published texts as followers get them
 *
 * Rendered for the followers, packed against what they have, and kept, since
 * all followers ask for the same.
 */
#ifndef BM_SERVED_TEXT_H
#define BM_SERVED_TEXT_H

#include "wire.h"

/** control_render - what followers get of a published text; NULL where it
 * can't be read */
typedef struct blob *control_render(const struct blob *text);

enum { SERVED_TEXTS = 2 }; /* the newest, and the one before */

/** struct published_text - a version and its text, which is not owned; both
 * zero for none */
struct published_text {
    uint64_t version;
    struct blob *text;
};

/** struct rendered_text - what followers get of version @version */
struct rendered_text {
    uint64_t version;
    struct blob *text;
};

/** struct packed_text - that of version @version, packed against that of
 * @from, which is 0 for none; @digest is of the text */
struct packed_text {
    uint64_t version;
    uint64_t from;
    uint64_t digest;
    struct blob *data;
};

/**
 * struct served_texts - the kept ones; zeroed at first
 * @render: NULL where followers get texts as they were published
 */
struct served_texts {
    control_render *render;
    struct rendered_text rendered[SERVED_TEXTS];
    size_t next_rendered;
    struct packed_text packed[SERVED_TEXTS];
    size_t next_packed;
};

/** served_text_fill() - @newest into a reply, for a follower that has @base */
void served_text_fill(struct served_texts *s, struct published_text newest,
                      struct published_text base, struct rec_config_reply *r);

void served_texts_free(struct served_texts *s);

#endif
