#include "roster.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* A broker that may be selected, with its weight in the order of its zone. */
struct candidate {
    const struct roster_broker *broker;
    uint64_t weight; /* differs between receivers */
};

void
roster_free(struct roster *r)
{
    while (r->brokers != NULL) {
        struct roster_broker *b = r->brokers;

        r->brokers = b->next;
        free(b);
    }
}

struct roster_broker *
roster_find(const struct roster *r, struct name name)
{
    struct roster_broker *b = r->brokers;

    while (b != NULL && !name_equal(b->name, name)) {
        b = b->next;
    }
    return b;
}

static struct roster_broker *
add_broker(struct roster *r, struct name name)
{
    struct roster_broker *b = calloc(1, sizeof(*b));

    if (b == NULL) {
        abort();
    }
    b->name = name;
    b->next = r->brokers;
    r->brokers = b;
    return b;
}

static bool
same_introduction(const struct rec_introduction *a,
                  const struct rec_introduction *b)
{
    return a->holds == b->holds && name_equal(a->zone, b->zone) &&
           strcmp(a->address.s, b->address.s) == 0;
}

struct roster_broker *
roster_update(struct roster *r, struct name name,
              const struct rec_introduction *i, int64_t now_us)
{
    struct roster_broker *b = roster_find(r, name);

    if (b == NULL) {
        b = add_broker(r, name);
    }
    b->announce_pending =
        b->announce_pending || !b->up || !same_introduction(&b->info, i);
    b->info = *i;
    b->up = true;
    b->changed_us = now_us;
    return b;
}

void
roster_remove_stale(struct roster *r, int64_t before_us)
{
    struct roster_broker **at = &r->brokers;

    while (*at != NULL) {
        struct roster_broker *b = *at;

        if (b->up || b->changed_us > before_us) {
            at = &b->next;
            continue;
        }
        *at = b->next;
        free(b);
    }
}

void
roster_mark_announced(struct roster *r)
{
    for (struct roster_broker *b = r->brokers; b != NULL; b = b->next) {
        b->announce_pending = false;
    }
}

/* Selection */

static int
compare_candidates(const void *x, const void *y)
{
    const struct candidate *a = x;
    const struct candidate *b = y;
    int zone = strcmp(a->broker->info.zone.s, b->broker->info.zone.s);

    if (zone != 0) {
        return zone;
    }
    if ((a->broker->info.holds != 0) != (b->broker->info.holds != 0)) {
        return a->broker->info.holds != 0 ? -1 : 1;
    }
    if (a->weight != b->weight) {
        return a->weight < b->weight ? -1 : 1;
    }
    return strcmp(a->broker->name.s, b->broker->name.s);
}

/* All brokers, ordered by zone and preference for the receiver. */
static struct candidate *
rank_brokers(const struct roster *r, const struct roster_broker *to, size_t *n)
{
    uint64_t seed = XXH3_64bits(to->name.s, strlen(to->name.s));
    struct candidate *list;
    size_t most = 0;

    for (const struct roster_broker *b = r->brokers; b != NULL; b = b->next) {
        most++;
    }
    list = calloc(most + 1, sizeof(*list));
    if (list == NULL) {
        abort();
    }
    *n = 0;
    for (const struct roster_broker *b = r->brokers; b != NULL; b = b->next) {
        list[*n].broker = b;
        list[*n].weight =
            XXH3_64bits_withSeed(b->name.s, strlen(b->name.s), seed);
        (*n)++;
    }
    qsort(list, *n, sizeof(*list), compare_candidates);
    return list;
}

size_t
roster_select(const struct roster *r, const struct roster_broker *to,
              bool pending_only, struct rec_instance **list)
{
    size_t n_ranked;
    struct candidate *all = rank_brokers(r, to, &n_ranked);
    size_t in_zone = 0; /* position in the zone */
    size_t n = 0;

    *list = calloc(n_ranked + 1, sizeof(**list));
    if (*list == NULL) {
        abort();
    }
    for (size_t i = 0; i < n_ranked; i++) {
        const struct roster_broker *b = all[i].broker;
        bool first_of_zone =
            i == 0 || !name_equal(all[i - 1].broker->info.zone, b->info.zone);

        in_zone = first_of_zone ? 0 : in_zone + 1;
        if ((pending_only && (!b->announce_pending || b == to)) ||
            (in_zone >= ROSTER_REMOTE_ZONE_MAX &&
             !name_equal(b->info.zone, to->info.zone))) {
            continue;
        }
        (*list)[n].name = b->name;
        (*list)[n].zone = b->info.zone;
        (*list)[n].address = b->info.address;
        n++;
    }
    free(all);
    return n;
}
