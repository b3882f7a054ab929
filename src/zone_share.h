/**
 * DOC: zone_share - equal shares of a queue's part for the zones of origin
 *
 * The load: callers of one zone send ten times as much as those of each other
 * zone, and what their own zone can't run is offered to the others.  Shared by
 * demand, nearly all capacity would go to that zone.  So while the demand for
 * a queue exceeds its part of the capacity, each zone of origin may use an
 * equal share of that part, and what a zone does not use goes to the others.
 *
 * The zone of origin of a job is the zone of the broker that took it from its
 * caller.  The state belongs to one queue at one runner and is lost with it.
 * A zone without demand for ZONE_SHARE_MEMORY_US is forgotten.
 */
#ifndef BM_ZONE_SHARE_H
#define BM_ZONE_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"

/* What a zone was owed is remembered for this long without demand of it. */
#define ZONE_SHARE_MEMORY_US (2 * USEC_PER_SEC)

enum {
    ZONE_SHARES_MAX = 16, /* more zones than a deployment has */
};

/**
 * struct zone_share - a zone of origin
 * @demand: work offered lately: moving average, in milli-cores
 * @used: work admitted lately, likewise
 * @credit: work that may be admitted from its share, in milli-core us
 * @offered_us: when a job of the zone was last offered
 */
struct zone_share {
    struct name zone;
    double demand;
    double used;
    double credit;
    int64_t offered_us;
};

/**
 * struct zone_shares - of a queue; all zero is valid
 * @never_expire: a deliberate fault, for tests
 * @pressed_us: when a zone last demanded clearly more than its share; 0: none
 *              did
 */
struct zone_shares {
    struct zone_share zones[ZONE_SHARES_MAX];
    size_t n;
    int64_t updated_us;
    bool never_expire;
    int64_t pressed_us;
};

/** enum zone_verdict - on a job of a zone */
enum zone_verdict {
    ZONE_UNBOUND, /* no share is in force: the queue's rule applies */
    ZONE_WITHIN,  /* the share of its zone covers all of the zone's demand */
    ZONE_CREDIT,  /* its zone demands more than its share, and has credit */
    ZONE_BEYOND,  /* its zone has used its share */
};

/** zone_share_offer() - adds an offered job of @work milli-core us, admitted
 * or not, of the zone; @part: the queue's part of the capacity, in milli-cores
 */
void zone_share_offer(struct zone_shares *s, struct name zone, double work,
                      double part, int64_t now_us);

/** zone_share_binds() - whether demand exceeded the part, and a zone demanded
 * clearly more than its share, in the last ZONE_SHARE_MEMORY_US.  Asked of the
 * demand of all queues together: that of one queue varies too much. */
bool zone_share_binds(const struct zone_shares *s, int64_t now_us);

/** zone_share_judge() - judges a job of the zone that was just offered, where
 * shares are in force; ZONE_UNBOUND, so that the queue's rule applies, if the
 * demand fits into the part (as above) or every zone demands more than an
 * equal share */
enum zone_verdict zone_share_judge(const struct zone_shares *s,
                                   struct name zone, double part);

/** zone_share_admit() - subtracts the work of an admitted job */
void zone_share_admit(struct zone_shares *s, struct name zone, double work);

/** zone_share_level() - the largest share, in milli-cores: zones that demand
 * less get what they demand; infinite if all do */
double zone_share_level(const struct zone_shares *s, double part);

#endif
