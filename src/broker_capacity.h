/**
 * DOC: broker_capacity - declared capacity and reported usage of brokers
 *
 * Each broker declares the limits of its instance on connect, before its
 * introduction.  Where the instances of a zone differ, brokers also report how
 * long events wait at them, and takers add that to the expected wait at a
 * runner.  A broker whose build does not declare limits has none.
 */
#ifndef BM_BROKER_CAPACITY_H
#define BM_BROKER_CAPACITY_H

#include "broker.h"
#include "holder_plan.h"

struct broker_peer;

/**
 * struct peer_capacity - what is known of a broker's capacity and usage
 * @declared: declared limits that are in force
 * @pending: received since the last introduction, if @has_pending
 * @has_pending: @pending is set
 * @introduced: @declared is that of an introduction on this connection
 * @incarnation: of the process that declared it
 * @busy_permille: processor time used, over the declared share
 * @delay_us: mean time that an event waits to be handled
 * @usage_us: when these two were received; 0: never
 */
struct peer_capacity {
    struct instance_capacity declared;
    struct instance_capacity pending;
    bool has_pending;
    bool introduced;
    uint64_t incarnation;
    uint64_t busy_permille;
    int64_t delay_us;
    int64_t usage_us;
};

/**
 * struct capacity_state - what this broker knows of its zone
 * @plan: last plan of the holders
 * @plan_hash: hash of the holders and their relative capacities in that plan
 * @quota: of this broker in that plan
 * @logged_plan: last plan that was logged
 * @logged_hash: its @plan_hash
 * @usage_due: a measurement has to be sent behind the next load messages
 * @surplus_review_us: when to assign upstreams again, since some that others
 *                     are to hold had runs here; INT64_MAX: not due
 */
struct capacity_state {
    struct holder_plan plan;
    uint64_t plan_hash;
    size_t quota;
    struct holder_plan logged_plan;
    uint64_t logged_hash;
    bool usage_due;
    int64_t surplus_review_us;
};

/** capacity_init() - sets the declared limits of this broker's own peer */
void capacity_init(struct broker *b);

/** capacity_declare() - sends the limits of this instance to a broker; nothing
 * if none are declared, or the feature is disabled */
void capacity_declare(struct broker *b, struct name to);

/** capacity_on_declared() - a broker declares its limits.  They are in force
 * from its introduction on, or at once if it was introduced without any. */
void capacity_on_declared(struct broker *b, struct name from,
                          const struct rec_instance_capacity *r);

/** capacity_on_introduction() - puts the limits that were declared before it
 * in force; to be called before the incarnation of @p changes */
void capacity_on_introduction(struct broker *b, struct broker_peer *p,
                              const struct rec_introduction *i);

/** capacity_on_peer_lost() - the connection is lost; the next introduction
 * counts, whatever its incarnation */
void capacity_on_peer_lost(struct broker_peer *p);

/** capacity_of_candidate() - limits of a broker as far as the plan of holders
 * considers them; all 0 if the feature is disabled */
struct instance_capacity capacity_of_candidate(const struct broker *b,
                                               const struct broker_peer *p);

/** capacity_plan_made() - records the plan of holders that was made, and logs
 * it if its holders or their capacities differ from the last one logged, and
 * it does not follow from equal capacities alone; not before the other brokers
 * had time to connect */
void capacity_plan_made(struct broker *b, struct holder_plan plan,
                        const struct holder_candidate *candidates);

/** capacity_surplus() - upstreams were assigned; @surplus of those held here
 * are to be released once their runs have ended */
void capacity_surplus(struct broker *b, size_t surplus);

/** capacity_tick() - has upstreams assigned again, when due */
void capacity_tick(struct broker *b);
int64_t capacity_next_us(const struct broker *b);

/** capacity_on_measured() - the runtime measured the usage of this process */
void capacity_on_measured(struct broker *b, const struct usage_sample *u);

/** capacity_on_usage() - another broker reports its usage */
void capacity_on_usage(struct broker *b, struct name from,
                       const struct rec_broker_usage *r);

/** capacity_send_usage() - sends the newest measurement to a broker that was
 * just sent a load message, if it is due */
void capacity_send_usage(struct broker *b, struct name to);

/** capacity_usage_sent() - all load messages of this round were sent */
void capacity_usage_sent(struct broker *b);

/** capacity_delay_us() - what the delay of events at a runner adds to the
 * expected wait there; 0 if it is not known, or not considered */
int64_t capacity_delay_us(const struct broker *b, const struct broker_peer *p);

#endif
