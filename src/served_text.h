/**
 * DOC: served_text - published texts in the form that is sent to followers
 *
 * A text is rendered for the followers and packed as a difference to the
 * version that a follower has.  The results are cached, because all followers
 * request the same ones.
 */
#ifndef BM_SERVED_TEXT_H
#define BM_SERVED_TEXT_H

#include "wire.h"

/** control_render - converts a published text to the form that followers get;
 * returns NULL if the text cannot be parsed */
typedef struct blob *control_render(const struct blob *text);

enum {
    SERVED_TEXTS = 2
}; /* cache size: the newest version and the previous */

/** struct published_text - a version and its text, which is not owned; all
 * zero for none */
struct published_text {
    uint64_t version;
    struct blob *text;
};

/** struct rendered_text - rendered text of version @version */
struct rendered_text {
    uint64_t version;
    struct blob *text;
};

/** struct packed_text - rendered text of version @version, packed as a
 * difference to that of version @from (0: packed on its own); @digest is the
 * digest of the unpacked text */
struct packed_text {
    uint64_t version;
    uint64_t from;
    uint64_t digest;
    struct blob *data;
};

/**
 * struct served_texts - cache of rendered and packed texts; initialized to
 * zero
 * @render: renders a text; NULL if followers get texts as published
 * @rendered: rendered texts
 * @next_rendered: element of @rendered that is replaced next
 * @packed: packed texts
 * @next_packed: element of @packed that is replaced next
 */
struct served_texts {
    control_render *render;
    struct rendered_text rendered[SERVED_TEXTS];
    size_t next_rendered;
    struct packed_text packed[SERVED_TEXTS];
    size_t next_packed;
};

/** served_text_fill() - fills a reply with @newest, for a follower that has
 * @base; the reply gets a reference to the data */
void served_text_fill(struct served_texts *s, struct published_text newest,
                      struct published_text base, struct rec_config_reply *r);

void served_texts_free(struct served_texts *s);

#endif
