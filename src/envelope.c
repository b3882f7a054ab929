#include "envelope.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct envelope *
envelope_new(enum event_kind kind)
{
    struct envelope *e = calloc(1, sizeof(*e));

    if (e == NULL) {
        abort();
    }
    e->event.kind = kind;
    return e;
}

void
envelope_free(struct envelope *e)
{
    if (e == NULL) {
        return;
    }
    job_spec_free(e->spec);
    blob_unref(e->result);
    config_free(e->config);
    if (e->msg != NULL) {
        msg_free(e->msg);
        free(e->msg);
    }
    free(e);
}

struct envelope *
envelope_ended(uint64_t call, enum start_outcome outcome, bool ok,
               struct blob *result, int64_t ran_us)
{
    struct envelope *e = envelope_new(EV_TASK_ENDED);

    e->result = result;
    e->event.u.ended = (struct ev_ended){.call = call,
                                         .outcome = outcome,
                                         .ok = ok,
                                         .result = result,
                                         .ran_us = ran_us};
    return e;
}

struct envelope *
envelope_revoked(uint64_t call, enum revoke_outcome outcome, bool ok,
                 struct blob *result)
{
    struct envelope *e = envelope_new(EV_TASK_REVOKED);

    e->result = result;
    e->event.u.revoked = (struct ev_revoked){
        .call = call, .outcome = outcome, .ok = ok, .result = result};
    return e;
}

struct envelope *
envelope_fenced(uint64_t call, enum fence_outcome outcome, uint64_t epoch,
                uint32_t running)
{
    struct envelope *e = envelope_new(EV_FENCED);

    e->event.u.fenced = (struct ev_fenced){
        .call = call, .outcome = outcome, .epoch = epoch, .running = running};
    return e;
}

struct envelope *
envelope_message(struct name from, struct msg *m)
{
    struct envelope *e = envelope_new(EV_MESSAGE);

    e->msg = malloc(sizeof(*e->msg));
    if (e->msg == NULL) {
        abort();
    }
    *e->msg = *m;
    memset(m, 0, sizeof(*m));
    e->event.u.message.from = from;
    e->event.u.message.msg = e->msg;
    return e;
}

struct envelope *
envelope_key(enum event_kind kind, uint64_t request, const char *text)
{
    struct envelope *e = envelope_new(kind);

    (void)snprintf(e->key, sizeof(e->key), "%s", text);
    if (kind == EV_SUBMIT) {
        e->event.u.submit.request = request;
        e->event.u.submit.key = e->key;
    }
    else {
        e->event.u.query.request = request;
        e->event.u.query.key = e->key;
    }
    return e;
}
