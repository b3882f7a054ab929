/*
 * Recovery of a region from the disk of one member, see control_recover().
 */
#include <string.h>

#include "control.h"

static void
apply_entry(struct fsm *f, const struct rec_log_entry *e)
{
    struct msg m;

    if ((e->kind != LOG_KIND_PUBLISH && e->kind != LOG_KIND_EVACUATION) ||
        e->data == NULL ||
        wire_decode(e->data->data, e->data->size, &m) != WIRE_OK) {
        return;
    }
    if (m.kind == MSG_PUBLISH) {
        (void)fsm_publish(f, e->index, e->term, &m.u.publish);
    }
    else if (m.kind == MSG_EVACUATION_ORDER) {
        (void)fsm_evacuate(f, &m.u.evacuation_order);
    }
    msg_free(&m);
}

/* Index and term above all that the disk holds. */
static void
set_position(const struct storage_contents *found,
             struct control_recovery *out)
{
    uint64_t term = found->snapshot_term;

    out->index = found->snapshot_index + found->n_entries + 1;
    if (found->n_entries > 0) {
        term = found->entries[found->n_entries - 1].term;
    }
    out->term = (found->term > term ? found->term : term) + 1;
}

bool
control_recover(const struct storage_contents *found,
                const struct rec_control_member *self, uint64_t time_us,
                struct control_recovery *out)
{
    struct rec_control_member member = *self;
    struct rec_membership members = {&member, 1};
    struct fsm f;
    uint64_t index = 0;
    uint64_t term = 0;

    fsm_init(&f, control_options_default().limits);
    if (found->snapshot == NULL ||
        !fsm_decode(&f, found->snapshot, &index, &term)) {
        fsm_free(&f);
        return false;
    }
    for (size_t i = 0; i < found->n_entries; i++) {
        apply_entry(&f, &found->entries[i]);
    }
    set_position(found, out);
    member.voter = 1;
    member.disk = found->disk_id;
    fsm_set_members(&f, &members);
    fsm_recover(&f, out->index, out->term, time_us);
    out->version = f.version;
    out->state = fsm_encode(&f, out->index, out->term);
    fsm_free(&f);
    return true;
}
