#include "opauth.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "map.h"

enum { NONCES_MAX = 65536, TIME_DIGITS_MAX = 18 };

struct nonce {
    struct key_id id; /* first: looked up by it */
    int64_t until_us; /* wall time */
};

struct opauth {
    struct opsign_operators operators;
    int64_t window_us;
    pthread_mutex_t lock; /* for what follows */
    struct map by_id;
    struct nonce *ring; /* oldest first, from @first on */
    size_t first;
    size_t n;
};

struct opauth *
opauth_new(const struct opsign_operators *operators, int64_t window_us)
{
    struct opauth *a = calloc(1, sizeof(*a));

    if (a == NULL) {
        abort();
    }
    a->ring = calloc(NONCES_MAX, sizeof(*a->ring));
    if (a->ring == NULL) {
        abort();
    }
    a->operators = *operators;
    a->window_us = window_us;
    (void)pthread_mutex_init(&a->lock, NULL);
    map_init(&a->by_id, MAP_KEY_ID);
    return a;
}

void
opauth_free(struct opauth *a)
{
    if (a == NULL) {
        return;
    }
    map_clear(&a->by_id);
    (void)pthread_mutex_destroy(&a->lock);
    free(a->ring);
    free(a);
}

static bool
read_time(const char *text, int64_t *out)
{
    size_t n = strspn(text, "0123456789");

    if (n == 0 || n > TIME_DIGITS_MAX || text[n] != '\0') {
        return false;
    }
    *out = strtoll(text, NULL, 10);
    return true;
}

/* Takes the nonce; false when it was taken before.  A time may lie ahead by
 * the window, so a nonce is remembered for two of them. */
static bool
take_nonce(struct opauth *a, const struct opsign_request *r, int64_t now_us)
{
    struct key_id id = key_id_of(r->nonce);
    bool fresh = false;

    (void)pthread_mutex_lock(&a->lock);
    while (a->n > 0 && a->ring[a->first].until_us < now_us) {
        (void)map_remove(&a->by_id, &a->ring[a->first].id);
        a->first = (a->first + 1) % NONCES_MAX;
        a->n--;
    }
    if (a->n < NONCES_MAX && map_get(&a->by_id, &id) == NULL) {
        struct nonce *n = &a->ring[(a->first + a->n) % NONCES_MAX];

        n->id = id;
        n->until_us = now_us + 2 * a->window_us;
        map_put(&a->by_id, n);
        a->n++;
        fresh = true;
    }
    (void)pthread_mutex_unlock(&a->lock);
    return fresh;
}

enum opauth_result
opauth_check(struct opauth *a, struct opsign_request *request,
             const struct opauth_headers *headers, int64_t now_wall_us)
{
    const struct opsign_operator *who;

    if (headers->operator_name == NULL || headers->time == NULL ||
        headers->nonce == NULL || headers->auth == NULL ||
        strlen(headers->operator_name) >= NAME_SIZE ||
        strlen(headers->nonce) != OPSIGN_NONCE_SIZE - 1 ||
        !read_time(headers->time, &request->time_us)) {
        return OPAUTH_NOT_SIGNED;
    }
    request->operator_name = name_of(headers->operator_name);
    request->nonce = headers->nonce;
    who = opsign_find(&a->operators, request->operator_name);
    if (who == NULL || !opsign_verify(request, who->key, headers->auth)) {
        return OPAUTH_NOT_SIGNED;
    }
    if (request->time_us < now_wall_us - a->window_us ||
        request->time_us > now_wall_us + a->window_us ||
        !take_nonce(a, request, now_wall_us)) {
        return OPAUTH_STALE;
    }
    return OPAUTH_OK;
}
