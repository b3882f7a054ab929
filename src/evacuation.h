/**
 * DOC: evacuation - which availability zones are being evacuated
 *
 * No task is started on the upstreams of an evacuated zone; tasks that run
 * there are left to end.  Operators begin and end evacuations at control,
 * which replicates them in its log.  Instances receive the whole set with its
 * revision, so that an older set never replaces a newer one.
 */
#ifndef BM_EVACUATION_H
#define BM_EVACUATION_H

#include "wire.h"

/**
 * struct evacuation_set - the evacuated zones
 * @revision: incremented by every change; 0: never changed
 * @zones: by time of the order; owned
 * @n_zones: number of @zones, at most ZONES_MAX
 */
struct evacuation_set {
    uint64_t revision;
    struct rec_evacuated_zone *zones;
    size_t n_zones;
};

/** evacuation_clear() - releases the zones and sets the revision to 0 */
void evacuation_clear(struct evacuation_set *s);

/** evacuation_covers() - whether the zone is being evacuated */
bool evacuation_covers(const struct evacuation_set *s, struct name zone);

/** evacuation_is_full() - whether an order to evacuate @zone would exceed
 * ZONES_MAX */
bool evacuation_is_full(const struct evacuation_set *s, struct name zone);

/** evacuation_apply() - applies an operator's order.  Returns false, leaving
 * the set unchanged, if it already is as ordered or would exceed ZONES_MAX. */
bool evacuation_apply(struct evacuation_set *s,
                      const struct rec_evacuation_order *order);

/** evacuation_update() - replaces the set by a received one, which is copied;
 * returns false if that one is not newer */
bool evacuation_update(struct evacuation_set *s, uint64_t revision,
                       const struct rec_evacuated_zone *zones, size_t n_zones);

/** evacuation_copy_zones() - a copy of the zones, owned by the caller; NULL if
 * there are none */
struct rec_evacuated_zone *
evacuation_copy_zones(const struct evacuation_set *s);

/** evacuation_format() - writes the names of the zones, separated by spaces,
 * or "none" to @out; cuts the text if there is not enough room */
void evacuation_format(const struct evacuation_set *s, char *out, size_t size);

#endif
