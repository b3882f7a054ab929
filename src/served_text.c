#include "served_text.h"

#include <stdlib.h>

#include "delta.h"
#include "textpack.h"

/* One that can't be rendered goes as it is: followers refuse it and say so. */
static struct blob *
render(control_render *by, struct blob *text)
{
    struct blob *rendered = by != NULL ? by(text) : NULL;

    return rendered != NULL ? rendered : blob_ref(text);
}

static struct blob *
rendered_text(struct served_texts *s, const struct fsm *f, control_render *by,
              uint64_t version)
{
    struct rendered_text *r;

    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        if (s->rendered[i].version == version) {
            return s->rendered[i].text;
        }
    }
    r = &s->rendered[s->next_rendered];
    s->next_rendered = (s->next_rendered + 1) % SERVED_TEXTS;
    blob_unref(r->text);
    r->version = version;
    r->text = render(by, fsm_text(f, version));
    return r->text;
}

static struct blob *
packed_text(struct served_texts *s, uint64_t from, struct blob *base,
            struct blob *text, uint64_t version)
{
    struct packed_text *p;

    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        p = &s->packed[i];
        if (p->version == version && p->from == from) {
            return p->data;
        }
    }
    p = &s->packed[s->next_packed];
    s->next_packed = (s->next_packed + 1) % SERVED_TEXTS;
    blob_unref(p->data);
    p->version = version;
    p->from = from;
    p->data = textpack_make(base, text);
    if (p->data == NULL) {
        abort();
    }
    return p->data;
}

void
served_text_fill(struct served_texts *s, const struct fsm *f,
                 control_render *render_by, uint64_t have,
                 struct rec_config_reply *r)
{
    uint64_t from = have != 0 && fsm_text(f, have) != NULL ? have : 0;
    struct blob *base =
        from != 0 ? blob_ref(rendered_text(s, f, render_by, from)) : NULL;
    struct blob *text = rendered_text(s, f, render_by, f->version);

    r->packed = 1;
    r->from_version = from;
    r->config = blob_ref(packed_text(s, from, base, text, f->version));
    r->digest = delta_digest(text);
    blob_unref(base);
}

void
served_texts_free(struct served_texts *s)
{
    for (size_t i = 0; i < SERVED_TEXTS; i++) {
        blob_unref(s->rendered[i].text);
        blob_unref(s->packed[i].data);
    }
}
