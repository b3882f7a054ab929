#include "served_text.h"

#include <stdlib.h>

#include "delta.h"
#include "textpack.h"

/* A text that cannot be rendered is served unchanged: followers reject it and
 * report the error. */
static struct blob *
render(const struct served_texts *s, struct blob *text)
{
    struct blob *rendered = s->render != NULL ? s->render(text) : NULL;

    return rendered != NULL ? rendered : blob_ref(text);
}

/* Returns a reference to the rendered text, or NULL if @p is none. */
static struct blob *
rendered_text(struct served_texts *s, struct published_text p)
{
    struct rendered_text *r;

    if (p.text == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        if (s->rendered[i].version == p.version) {
            return blob_ref(s->rendered[i].text);
        }
    }
    r = &s->rendered[s->next_rendered];
    s->next_rendered = (s->next_rendered + 1) % SERVED_TEXTS;
    blob_unref(r->text);
    r->version = p.version;
    r->text = render(s, p.text);
    return blob_ref(r->text);
}

static void
pack(struct served_texts *s, struct published_text newest,
     struct published_text base, struct packed_text *out)
{
    struct blob *from = rendered_text(s, base);
    struct blob *text = rendered_text(s, newest);

    blob_unref(out->data);
    out->version = newest.version;
    out->from = base.version;
    out->digest = delta_digest(text);
    out->data = textpack_make(from, text);
    if (out->data == NULL) {
        abort();
    }
    blob_unref(from);
    blob_unref(text);
}

static const struct packed_text *
packed_text(struct served_texts *s, struct published_text newest,
            struct published_text base)
{
    struct packed_text *p;

    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        p = &s->packed[i];
        if (p->version == newest.version && p->from == base.version) {
            return p;
        }
    }
    p = &s->packed[s->next_packed];
    s->next_packed = (s->next_packed + 1) % SERVED_TEXTS;
    pack(s, newest, base, p);
    return p;
}

void
served_text_fill(struct served_texts *s, struct published_text newest,
                 struct published_text base, struct rec_config_reply *r)
{
    const struct packed_text *p = packed_text(s, newest, base);

    r->version = p->version;
    r->packed = 1;
    r->from_version = p->from;
    r->digest = p->digest;
    r->config = blob_ref(p->data);
}

void
served_texts_free(struct served_texts *s)
{
    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        blob_unref(s->rendered[i].text);
        blob_unref(s->packed[i].data);
    }
}
