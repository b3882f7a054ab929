#include "evacuation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
evacuation_clear(struct evacuation_set *s)
{
    free(s->zones);
    memset(s, 0, sizeof(*s));
}

static size_t
find_zone(const struct evacuation_set *s, struct name zone)
{
    size_t i = 0;

    while (i < s->n_zones && !name_equal(s->zones[i].zone, zone)) {
        i++;
    }
    return i;
}

bool
evacuation_covers(const struct evacuation_set *s, struct name zone)
{
    return find_zone(s, zone) < s->n_zones;
}

bool
evacuation_is_full(const struct evacuation_set *s, struct name zone)
{
    return s->n_zones >= ZONES_MAX && !evacuation_covers(s, zone);
}

static void
add_zone(struct evacuation_set *s, const struct rec_evacuation_order *order)
{
    struct rec_evacuated_zone *zones =
        realloc(s->zones, (s->n_zones + 1) * sizeof(*zones));

    if (zones == NULL) {
        abort();
    }
    s->zones = zones;
    s->zones[s->n_zones++] =
        (struct rec_evacuated_zone){.zone = order->zone,
                                    .publisher = order->publisher,
                                    .time_us = order->time_us};
}

static void
remove_zone(struct evacuation_set *s, size_t at)
{
    s->n_zones--;
    memmove(&s->zones[at], &s->zones[at + 1],
            (s->n_zones - at) * sizeof(*s->zones));
}

bool
evacuation_apply(struct evacuation_set *s,
                 const struct rec_evacuation_order *order)
{
    size_t at = find_zone(s, order->zone);
    bool evacuated = at < s->n_zones;

    if (evacuated == (order->evacuate != 0) ||
        evacuation_is_full(s, order->zone)) {
        return false;
    }
    if (evacuated) {
        remove_zone(s, at);
    }
    else {
        add_zone(s, order);
    }
    s->revision++;
    return true;
}

struct rec_evacuated_zone *
evacuation_copy_zones(const struct evacuation_set *s)
{
    struct rec_evacuated_zone *copy;

    if (s->n_zones == 0) {
        return NULL;
    }
    copy = calloc(s->n_zones, sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    memcpy(copy, s->zones, s->n_zones * sizeof(*copy));
    return copy;
}

bool
evacuation_update(struct evacuation_set *s, uint64_t revision,
                  const struct rec_evacuated_zone *zones, size_t n_zones)
{
    /* Only read from: the cast does not lead to a write. */
    const struct evacuation_set received = {
        .zones = (struct rec_evacuated_zone *)zones,
        .n_zones = n_zones < ZONES_MAX ? n_zones : ZONES_MAX};

    if (revision <= s->revision) {
        return false;
    }
    free(s->zones);
    s->zones = evacuation_copy_zones(&received);
    s->n_zones = received.n_zones;
    s->revision = revision;
    return true;
}

void
evacuation_format(const struct evacuation_set *s, char *out, size_t size)
{
    size_t used = 0;

    (void)snprintf(out, size, "none");
    for (size_t i = 0; i < s->n_zones && used < size; i++) {
        int n = snprintf(out + used, size - used, "%s%s", i > 0 ? " " : "",
                         s->zones[i].zone.s);

        used += n > 0 ? (size_t)n : 0;
    }
}
