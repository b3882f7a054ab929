#include "broker_effect.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"

const char *
broker_reason_text(enum broker_reason r)
{
    static const char *const texts[] = {
#define BROKER_REASON(NAME, text, help) text,
        BROKER_REASON_LIST(BROKER_REASON)
#undef BROKER_REASON
    };

    return texts[r];
}

const char *
job_outcome_text(enum job_outcome o)
{
    static const char *const texts[] = {
#define JOB_OUTCOME(NAME, text) text,
        JOB_OUTCOME_LIST(JOB_OUTCOME)
#undef JOB_OUTCOME
    };

    return texts[o];
}

struct broker_effect *
broker_effects_add(struct broker_effects *fx, enum broker_effect_kind kind)
{
    struct broker_effect *f;

    fx->items =
        array_grow(fx->items, fx->n, &fx->capacity, sizeof(*fx->items));
    f = &fx->items[fx->n++];
    memset(f, 0, sizeof(*f));
    f->kind = kind;
    return f;
}

static void
effect_clear(struct broker_effect *f)
{
    if (f->kind == BE_SEND) {
        msg_free(&f->u.send.msg);
    }
    else if (f->kind == BE_CALL) {
        blob_unref(f->u.call.request.spec);
        f->u.call.request.spec = NULL;
    }
}

void
broker_effects_clear(struct broker_effects *fx)
{
    for (size_t i = 0; i < fx->n; i++) {
        effect_clear(&fx->items[i]);
    }
    fx->n = 0;
}

void
broker_effects_free(struct broker_effects *fx)
{
    broker_effects_clear(fx);
    free(fx->items);
    memset(fx, 0, sizeof(*fx));
}
