/* Evacuations of zones in the virtual region: what each registry knows of
 * them, and the judge of starts in evacuated zones. */
#include <string.h>

#include "vlease_state.h"

static uint64_t
registry_zone(const struct vlease *v, const struct vprocess *p)
{
    return p->number - v->n_brokers;
}

/* The registry of the first zone learns of an order at once, as a leader of
 * control does. */
static int64_t
lag_us(const struct vlease *v, const struct vprocess *p)
{
    return registry_zone(v, p) == 0 ? 0 : v->opts.registry_lag_us;
}

static const struct evacuation_set *
known_set(const struct vlease *v, const struct vprocess *p)
{
    static const struct evacuation_set none;

    for (size_t i = v->n_evacuations; i > 0; i--) {
        if (v->evacuations[i - 1].at_us + lag_us(v, p) <= v->now_us) {
            return &v->evacuations[i - 1].set;
        }
    }
    return &none;
}

void
vevacuate_fill_reply(const struct vlease *v, const struct vprocess *p,
                     struct rec_config_reply *r)
{
    const struct evacuation_set *set = known_set(v, p);

    r->evacuation = set->revision;
    r->evacuated = evacuation_copy_zones(set);
    r->n_evacuated = set->n_zones;
}

bool
vevacuate_is_news(const struct vlease *v, const struct vprocess *p,
                  uint64_t known_revision)
{
    return known_set(v, p)->revision > known_revision;
}

static struct evacuation_set
copy_newest(const struct vlease *v)
{
    struct evacuation_set copy = {0};

    if (v->n_evacuations > 0) {
        copy = v->evacuations[v->n_evacuations - 1].set;
        copy.zones = evacuation_copy_zones(&copy);
    }
    return copy;
}

void
vlease_evacuate(struct vlease *v, uint32_t zone, bool evacuate)
{
    struct vevacuation e = {.at_us = v->now_us, .set = copy_newest(v)};
    const struct rec_evacuation_order order = {
        .zone = v->processes[v->n_brokers + zone].zone,
        .evacuate = evacuate ? 1 : 0};

    if (v->n_evacuations == VLEASE_EVACUATIONS_MAX ||
        !evacuation_apply(&e.set, &order)) {
        evacuation_clear(&e.set);
        return;
    }
    v->evacuations[v->n_evacuations++] = e;
    for (uint32_t i = v->n_brokers; i < v->n_processes; i++) {
        const struct vprocess *p = &v->processes[i];

        vlease_at(v, v->now_us + lag_us(v, p), VEV_EVACUATED)->to = p->number;
    }
}

void
vevacuate_free(struct vlease *v)
{
    for (size_t i = 0; i < v->n_evacuations; i++) {
        evacuation_clear(&v->evacuations[i].set);
    }
    v->n_evacuations = 0;
}

void
vevacuate_disturb(struct vprocess *p, int64_t until_us)
{
    p->disturbed_until_us =
        until_us > p->disturbed_until_us ? until_us : p->disturbed_until_us;
}

/* Since when the zone is evacuated; INT64_MAX if it is not. */
static int64_t
evacuated_since_us(const struct vlease *v, struct name zone)
{
    int64_t since_us = INT64_MAX;

    for (size_t i = v->n_evacuations;
         i > 0 && evacuation_covers(&v->evacuations[i - 1].set, zone); i--) {
        since_us = v->evacuations[i - 1].at_us;
    }
    return since_us;
}

void
vevacuate_judge_start(struct vlease *v, const struct vprocess *p,
                      const struct vupstream *u, struct run_ref task)
{
    int64_t since_us = evacuated_since_us(v, u->zone);
    int64_t calm_us = v->now_us - v->opts.evacuation_us;

    if (since_us < calm_us && p->disturbed_until_us < calm_us) {
        vlease_fault(v, &v->faults.evacuated, p->name, task);
    }
}
