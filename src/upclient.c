#include "upclient.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "stats.h"
#include "upcall.h"

enum {
    RING_ROOM = 4, /* unused: calls are posted */
    POLL_MAX_MS = 1000,
    IDLE_EASY_MAX = 256, /* easy handles kept for later calls, a thread */
};

struct worker {
    struct upclient *client;
    pthread_t thread;
    struct mailbox mailbox;
    CURLM *multi;
    LIST_HEAD(, upcall) active;
    CURL *idle[IDLE_EASY_MAX];
    size_t n_idle;
};

struct upclient {
    struct upclient_options opts;
    struct worker workers[UPCLIENT_THREADS_MAX];
    unsigned int n_workers;
    atomic_bool stop;
};

struct upclient_options
upclient_options_default(void)
{
    return (struct upclient_options){
        .threads = 4,
        .connections_per_upstream = 64,
        .connect_timeout_ms = 1000,
        .control_timeout_ms = 1000,
        .idle_s = 15,
        .result_max = (size_t)1 << 20,
    };
}

static CURL *
easy_take(struct worker *w)
{
    CURL *easy;

    if (w->n_idle > 0) {
        return w->idle[--w->n_idle];
    }
    easy = curl_easy_init();
    if (easy == NULL) {
        abort();
    }
    return easy;
}

static void
easy_give_back(struct worker *w, CURL *easy)
{
    if (w->n_idle == IDLE_EASY_MAX) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    w->idle[w->n_idle++] = easy;
}

static void
call_begin(struct worker *w, struct upcall *u)
{
    u->easy = easy_take(w);
    LIST_INSERT_HEAD(&w->active, u, active);
    upcall_prepare(u, &w->client->opts);
    stats_add(&stats.calls_begun, 1);
    if (curl_multi_add_handle(w->multi, u->easy) != CURLM_OK) {
        abort(); /* only when memory is out */
    }
}

static void
call_end(struct worker *w, CURL *easy, CURLcode result)
{
    const struct upclient_options *o = &w->client->opts;
    struct upcall *u = NULL;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&u);
    if (u->effect.kind == EF_START) {
        stats_add(&stats.start_us,
                  (uint64_t)(clock_now(o->clock).mono_us - u->begun_us));
        stats_add(&stats.starts_ended, 1);
    }
    o->done(o->ctx, upcall_finish(u, result));
    LIST_REMOVE(u, active);
    curl_multi_remove_handle(w->multi, easy);
    easy_give_back(w, easy);
    upcall_free(u);
}

static void
begin_posted(struct worker *w)
{
    struct mail *mail;

    while ((mail = mailbox_take(&w->mailbox)) != NULL) {
        call_begin(w, (struct upcall *)mail);
    }
}

static void
end_finished(struct worker *w)
{
    CURLMsg *msg;
    int left;

    while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
        if (msg->msg == CURLMSG_DONE) {
            call_end(w, msg->easy_handle, msg->data.result);
        }
    }
}

static void
wait_for_work(struct worker *w)
{
    struct curl_waitfd extra = {.fd = w->mailbox.fd,
                                .events = CURL_WAIT_POLLIN};

    if (!mailbox_doze(&w->mailbox)) {
        return;
    }
    (void)curl_multi_poll(w->multi, &extra, 1, POLL_MAX_MS, NULL);
    mailbox_rouse(&w->mailbox, (extra.revents & CURL_WAIT_POLLIN) != 0);
}

static void *
worker_run(void *arg)
{
    struct worker *w = arg;
    int running;

    while (!atomic_load(&w->client->stop)) {
        begin_posted(w);
        (void)curl_multi_perform(w->multi, &running);
        end_finished(w);
        wait_for_work(w);
    }
    return NULL;
}

/* Calls that never ended own handles that the multi handle does not free. */
static void
worker_drop_calls(struct worker *w)
{
    struct upcall *u;
    struct mail *mail;

    while ((u = LIST_FIRST(&w->active)) != NULL) {
        LIST_REMOVE(u, active);
        curl_multi_remove_handle(w->multi, u->easy);
        curl_easy_cleanup(u->easy);
        upcall_free(u);
    }
    while ((mail = mailbox_take(&w->mailbox)) != NULL) {
        upcall_free((struct upcall *)mail);
    }
    while (w->n_idle > 0) {
        curl_easy_cleanup(w->idle[--w->n_idle]);
    }
}

static int
worker_start(struct worker *w, struct upclient *c)
{
    int err;

    w->client = c;
    err = mailbox_init(&w->mailbox, RING_ROOM);
    if (err != 0) {
        return err;
    }
    w->multi = curl_multi_init();
    if (w->multi == NULL) {
        mailbox_destroy(&w->mailbox);
        return ENOMEM;
    }
    curl_multi_setopt(w->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      c->opts.connections_per_upstream);
    curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS, 4096L);
    curl_multi_setopt(w->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
    err = pthread_create(&w->thread, NULL, worker_run, w);
    if (err != 0) {
        curl_multi_cleanup(w->multi);
        mailbox_destroy(&w->mailbox);
    }
    return err;
}

struct upclient *
upclient_new(const struct upclient_options *o)
{
    struct upclient *c = calloc(1, sizeof(*c));

    if (c == NULL || curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK) {
        free(c);
        return NULL;
    }
    c->opts = *o;
    while (c->n_workers < o->threads && c->n_workers < UPCLIENT_THREADS_MAX) {
        if (worker_start(&c->workers[c->n_workers], c) != 0) {
            upclient_free(c);
            return NULL;
        }
        c->n_workers++;
    }
    return c;
}

static void
worker_stop(struct worker *w)
{
    mailbox_wake(&w->mailbox);
    (void)pthread_join(w->thread, NULL);
    worker_drop_calls(w);
    curl_multi_cleanup(w->multi);
    mailbox_destroy(&w->mailbox);
}

void
upclient_free(struct upclient *c)
{
    if (c == NULL) {
        return;
    }
    atomic_store(&c->stop, true);
    for (unsigned int i = 0; i < c->n_workers; i++) {
        worker_stop(&c->workers[i]);
    }
    free(c);
    curl_global_cleanup();
}

static struct name
upstream_of(const struct effect *f)
{
    switch (f->kind) {
    case EF_START:
        return f->u.start.upstream;
    case EF_REVOKE:
        return f->u.revoke.upstream;
    default:
        return f->u.fence.upstream;
    }
}

void
upclient_begin(struct upclient *c, struct effect *effect)
{
    struct upcall *u = calloc(1, sizeof(*u));
    struct key_id hash;

    if (u == NULL) {
        abort();
    }
    u->effect = *effect;
    u->begun_us = clock_now(c->opts.clock).mono_us;
    memset(effect, 0, sizeof(*effect));
    hash = key_id_of(upstream_of(&u->effect).s);
    mailbox_post(&c->workers[hash.lo % c->n_workers].mailbox, &u->mail);
}
