#include "control_effect.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"

struct control_effect *
control_effects_add(struct control_effects *fx, enum control_effect_kind kind)
{
    struct control_effect *f;

    fx->items = array_grow(fx->items, fx->n, &fx->capacity, sizeof(*f));
    f = &fx->items[fx->n++];
    memset(f, 0, sizeof(*f));
    f->kind = kind;
    return f;
}

void
control_effect_clear(struct control_effect *f)
{
    switch (f->kind) {
    case CE_APPEND:
        for (size_t i = 0; i < f->u.append.n_entries; i++) {
            blob_unref(f->u.append.entries[i].data);
        }
        free(f->u.append.entries);
        break;
    case CE_SNAPSHOT:
        blob_unref(f->u.snapshot.state);
        break;
    case CE_SAVE_UPSTREAMS:
        msg_free(&f->u.upstreams.report);
        break;
    case CE_SEND:
        msg_free(&f->u.send.msg);
        break;
    case CE_REPLY:
        msg_free(&f->u.reply.publication);
        blob_unref(f->u.reply.config);
        break;
    case CE_TEXT:
        free(f->u.text.json);
        break;
    case CE_MEMBERS:
        msg_free(&f->u.members.msg);
        break;
    default:
        break;
    }
}

void
control_effects_clear(struct control_effects *fx)
{
    for (size_t i = 0; i < fx->n; i++) {
        control_effect_clear(&fx->items[i]);
    }
    fx->n = 0;
}

void
control_effects_free(struct control_effects *fx)
{
    control_effects_clear(fx);
    free(fx->items);
    memset(fx, 0, sizeof(*fx));
}

bool
control_effect_is_disk(enum control_effect_kind kind)
{
    return kind <= CE_SYNC;
}

static const struct {
    int status;
    const char *slug;
    const char *title;
} results[] = {
#define CONTROL_RESULT(NAME, status, slug, title) {status, slug, title},
    CONTROL_RESULT_LIST(CONTROL_RESULT)
#undef CONTROL_RESULT
};

int
control_result_status(enum control_result r)
{
    return results[r].status;
}

const char *
control_result_slug(enum control_result r)
{
    return results[r].slug;
}

const char *
control_result_title(enum control_result r)
{
    return results[r].title;
}

const char *
control_reason_text(enum control_reason r)
{
    static const char *const texts[] = {
#define CONTROL_REASON(NAME, text) text,
        CONTROL_REASON_LIST(CONTROL_REASON)
#undef CONTROL_REASON
    };

    return r < CONTROL_REASONS ? texts[r] : "unknown";
}
