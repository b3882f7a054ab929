#include "opclient.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum {
    ATTEMPT_MS = 5000,   /* one attempt; a change waits for the disks */
    HOPS_MAX = 3,        /* redirections in one attempt */
    PAUSE_MS = 200,      /* after every address was asked once */
    PAUSE_MAX_MS = 2000, /* however long Retry-After is */
    HEADER_SIZE = 128,
};

struct opclient {
    struct opclient_options o;
    struct fetch *fetch;
    size_t at;
};

/* The headers of one signed request; they must outlive it. */
struct signature {
    char operator_name[HEADER_SIZE];
    char time[HEADER_SIZE];
    char nonce[HEADER_SIZE];
    char auth[HEADER_SIZE];
};

struct opclient *
opclient_new(const struct opclient_options *o)
{
    struct opclient *c;

    if (o->n_addresses == 0) {
        return NULL;
    }
    c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->o = *o;
    c->fetch = fetch_new();
    if (c->fetch == NULL) {
        free(c);
        return NULL;
    }
    return c;
}

void
opclient_free(struct opclient *c)
{
    if (c != NULL) {
        fetch_free(c->fetch);
        free(c);
    }
}

static void
sign(const struct opclient *c, const struct opclient_request *request,
     struct signature *s, struct fetch_request *out)
{
    char nonce[OPSIGN_NONCE_SIZE];
    char auth[OPSIGN_TEXT_SIZE] = "";
    struct opsign_request signed_request = {
        .method = request->method,
        .path = request->path,
        .operator_name = c->o.signer->name,
        .time_us = clock_now(clock_real()).wall_us,
        .nonce = nonce,
        .body = request->body,
        .size = request->body != NULL ? strlen(request->body) : 0,
    };

    opsign_nonce(nonce);
    (void)opsign_sign(&signed_request, c->o.signer->key, auth);
    (void)snprintf(s->operator_name, HEADER_SIZE, "Boragemoor-Operator: %s",
                   c->o.signer->name.s);
    (void)snprintf(s->time, HEADER_SIZE, "Boragemoor-Time: %lld",
                   (long long)signed_request.time_us);
    (void)snprintf(s->nonce, HEADER_SIZE, "Boragemoor-Nonce: %s", nonce);
    (void)snprintf(s->auth, HEADER_SIZE, "Boragemoor-Auth: %s", auth);
    out->headers[1] = s->operator_name;
    out->headers[2] = s->time;
    out->headers[3] = s->nonce;
    out->headers[4] = s->auth;
}

/* One attempt at one member and whom it points to. */
static void
attempt(struct opclient *c, const struct opclient_request *request,
        struct fetch_reply *reply)
{
    struct fetch_request out = {
        .method = request->method,
        .headers = {"Content-Type: application/json"},
        .body = request->body,
        .size = request->body != NULL ? strlen(request->body) : 0,
        .timeout_ms = ATTEMPT_MS,
    };
    struct signature s;

    (void)snprintf(out.url, sizeof(out.url), "%s%s%s", c->o.addresses[c->at],
                   request->path, request->query);
    for (int hops = 0; hops <= HOPS_MAX; hops++) {
        if (c->o.signer != NULL && strcmp(request->method, "GET") != 0) {
            sign(c, request, &s, &out);
        }
        fetch_run(c->fetch, &out, reply);
        if (reply->error != FETCH_OK || reply->status != 307 ||
            reply->location[0] == '\0' || hops == HOPS_MAX) {
            return;
        }
        memcpy(out.url, reply->location, sizeof(out.url));
        fetch_reply_clear(reply);
    }
}

static bool
not_now(const struct fetch_reply *reply)
{
    return reply->error == FETCH_NO_CONNECT || reply->error == FETCH_LOST ||
           reply->error == FETCH_TIMEOUT ||
           (reply->error == FETCH_OK &&
            (reply->status == 503 || reply->status == 307));
}

static bool
left_unknown(const struct fetch_reply *reply)
{
    return reply->error == FETCH_LOST || reply->error == FETCH_TIMEOUT ||
           (reply->error == FETCH_OK && reply->status >= 500 &&
            (reply->body == NULL ||
             strstr(reply->body, "outcome-unknown") != NULL ||
             reply->status != 503));
}

static int64_t
pause_after(const struct fetch_reply *reply)
{
    int64_t told = reply->retry_after_s * 1000;

    return told < PAUSE_MS       ? PAUSE_MS
           : told < PAUSE_MAX_MS ? told
                                 : PAUSE_MAX_MS;
}

bool
opclient_run(struct opclient *c, const struct opclient_request *request,
             struct fetch_reply *reply)
{
    int64_t until_us =
        clock_now(clock_real()).mono_us + c->o.timeout_ms * USEC_PER_MSEC;
    bool unknown = false;

    for (size_t tries = 1;; tries++) {
        int64_t wait_ms;

        attempt(c, request, reply);
        unknown |= left_unknown(reply);
        wait_ms = tries % c->o.n_addresses == 0 ? pause_after(reply) : 0;
        if (!not_now(reply) ||
            clock_now(clock_real()).mono_us + wait_ms * USEC_PER_MSEC >
                until_us) {
            return unknown;
        }
        fetch_reply_clear(reply);
        c->at = (c->at + 1) % c->o.n_addresses;
        clock_sleep(wait_ms * USEC_PER_MSEC);
    }
}

const char *
opclient_add_addresses(struct opclient_options *o, const char *list)
{
    return fetch_add_urls(o->addresses, &o->n_addresses,
                          OPCLIENT_ADDRESSES_MAX, list)
               ? NULL
               : "at most 16 addresses of at most 63 bytes";
}
