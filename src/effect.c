#include "effect.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"

struct effect *
effects_add(struct effects *fx, enum effect_kind kind)
{
    struct effect *f;

    fx->items = array_grow(fx->items, fx->n, &fx->capacity, sizeof(*f));
    f = &fx->items[fx->n++];
    memset(f, 0, sizeof(*f));
    f->kind = kind;
    return f;
}

static void
effect_clear(struct effect *f)
{
    switch (f->kind) {
    case EF_ANSWER:
        job_answer_free(f->u.answer.answer);
        break;
    case EF_KEYS:
        free(f->u.keys.keys);
        break;
    case EF_TEXT:
        free(f->u.text.json);
        break;
    case EF_START:
        blob_unref(f->u.start.payload);
        break;
    case EF_SEND:
        msg_free(&f->u.send.msg);
        break;
    default:
        break;
    }
}

void
effects_clear(struct effects *fx)
{
    for (size_t i = 0; i < fx->n; i++) {
        effect_clear(&fx->items[i]);
    }
    fx->n = 0;
}

void
effects_free(struct effects *fx)
{
    effects_clear(fx);
    free(fx->items);
    memset(fx, 0, sizeof(*fx));
}

const char *
effect_name(enum effect_kind kind)
{
    static const char *const names[] = {
#define EFFECT(NAME, member, text) #NAME,
        EFFECT_LIST(EFFECT)
#undef EFFECT
    };

    return kind < EFFECT_KINDS ? names[kind] : "UNKNOWN";
}
