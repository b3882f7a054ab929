#include "decisions.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A line has at most three names and seven numbers. */
enum { LINE_SIZE = 256 + 3 * NAME_SIZE };

struct collector {
    struct decisions d;
    XXH64_state_t *hash;
    FILE *out;
};

static void
add_line(struct collector *c, const char *line)
{
    size_t size = strlen(line);

    (void)XXH64_update(c->hash, line, size);
    if (c->out != NULL) {
        (void)fwrite(line, 1, size, c->out);
    }
}

static void
add_call(struct collector *c, int64_t at_us, struct name broker,
         const struct lease_request *r)
{
    char line[LINE_SIZE];

    if (r->kind != LEASE_START && r->kind != LEASE_STOP) {
        return;
    }
    c->d.starts += r->kind == LEASE_START ? 1 : 0;
    c->d.stops += r->kind == LEASE_STOP ? 1 : 0;
    (void)snprintf(line, sizeof(line),
                   "%" PRId64 " %s %s job %" PRIu64 " task %" PRIu32
                   "/%" PRIu32 " run %" PRIu64 " %s fence %" PRIu64 "\n",
                   at_us, broker.s, r->kind == LEASE_START ? "start" : "stop",
                   r->task.job, r->task.group, r->task.index, r->task.run,
                   r->upstream.s, r->fence);
    add_line(c, line);
}

static void
add_answer(struct collector *c, int64_t at_us, struct name broker,
           const struct be_answer *a)
{
    char line[LINE_SIZE];

    c->d.answers++;
    (void)snprintf(line, sizeof(line),
                   "%" PRId64 " %s answer request %" PRIu64
                   " %s, %s, retry %" PRId64 "\n",
                   at_us, broker.s, a->request, job_outcome_text(a->outcome),
                   broker_reason_text(a->reason), a->retry_after_us);
    add_line(c, line);
}

static void
add_message(struct collector *c, int64_t at_us, struct name broker,
            const struct be_send *s)
{
    char line[LINE_SIZE];

    c->d.new_messages += s->msg.kind >= MSG_INSTANCE_CAPACITY ? 1 : 0;
    if (s->msg.kind != MSG_JOB_OFFER) {
        return;
    }
    c->d.offers++;
    (void)snprintf(line, sizeof(line),
                   "%" PRId64 " %s offer job %" PRIu64 " to %s\n", at_us,
                   broker.s, s->msg.u.job_offer.id, s->to.s);
    add_line(c, line);
}

static void
observe(void *ctx, int64_t at_us, struct name broker,
        const struct broker_effect *f)
{
    struct collector *c = ctx;

    switch (f->kind) {
    case BE_CALL:
        add_call(c, at_us, broker, &f->u.call.request);
        break;
    case BE_ANSWER:
        add_answer(c, at_us, broker, &f->u.answer);
        break;
    case BE_SEND:
        add_message(c, at_us, broker, &f->u.send);
        break;
    default:
        break;
    }
}

struct decisions
decisions_of_replay(enum replay which, FILE *out)
{
    struct collector c = {.hash = XXH64_createState(), .out = out};
    struct replay_options o = {.seeds = 1};
    struct vcredit credit;

    if (c.hash == NULL) {
        abort();
    }
    (void)XXH64_reset(c.hash, 0);
    o.callbacks.observe = observe;
    o.callbacks.ctx = &c;
    for (int f = BROKER_FEATURE_INSTANCE_CAPACITY; f < BROKER_FEATURES; f++) {
        o.without[f] = true;
    }
    c.d.kept = replay_run(which, &o, &credit);
    c.d.digest = XXH64_digest(c.hash);
    (void)XXH64_freeState(c.hash);
    return c.d;
}

void
decisions_print(const char *name, const struct decisions *d, FILE *out)
{
    (void)fprintf(out,
                  "%s %016" PRIx64 " %" PRIu64 " %" PRIu64 " %" PRIu64
                  " %" PRIu64 "\n",
                  name, d->digest, d->starts, d->stops, d->answers, d->offers);
}
