#include "queue.h"

#include <stdlib.h>
#include <string.h>

enum {
    QUEUE_MIN_CAPACITY = 32,
    HANDICAP_FACTOR = 4,        /* weight of work relative to waiting time */
    HANDICAP_LIMIT_DIVISOR = 2, /* of the time limit: longest handicap */
};

/* With least-work-first order alone, a steady stream of small jobs would keep
 * a large job waiting until its deadline.  The handicap is limited to half of
 * the job's time limit, so jobs submitted later than that do not overtake. */
int64_t
queue_rank_us(enum queue_order order, const struct queue_entry *q,
              int64_t work_us)
{
    int64_t handicap = HANDICAP_FACTOR * work_us;
    int64_t longest = q->time_limit_us / HANDICAP_LIMIT_DIVISOR;

    if (order == ORDER_ARRIVAL) {
        return q->submitted_us;
    }
    return q->submitted_us + (handicap < longest ? handicap : longest);
}

static bool
ranks_before(const struct queue_entry *a, const struct queue_entry *b)
{
    if (a->rank_us != b->rank_us) {
        return a->rank_us < b->rank_us;
    }
    return a->sequence < b->sequence;
}

static void
heap_set(struct queue *qu, size_t i, struct queue_entry *q)
{
    qu->heap[i] = q;
    q->heap_pos = i + 1;
}

static void
sift_up(struct queue *qu, size_t i)
{
    struct queue_entry *q = qu->heap[i];

    while (i > 0) {
        size_t parent = (i - 1) / 2;

        if (!ranks_before(q, qu->heap[parent])) {
            break;
        }
        heap_set(qu, i, qu->heap[parent]);
        i = parent;
    }
    heap_set(qu, i, q);
}

static void
sift_down(struct queue *qu, size_t i)
{
    struct queue_entry *q = qu->heap[i];

    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= qu->n) {
            break;
        }
        if (child + 1 < qu->n &&
            ranks_before(qu->heap[child + 1], qu->heap[child])) {
            child++;
        }
        if (!ranks_before(qu->heap[child], q)) {
            break;
        }
        heap_set(qu, i, qu->heap[child]);
        i = child;
    }
    heap_set(qu, i, q);
}

static void
heap_grow(struct queue *qu)
{
    if (qu->n < qu->capacity) {
        return;
    }
    qu->capacity = qu->capacity == 0 ? QUEUE_MIN_CAPACITY : 2 * qu->capacity;
    qu->heap = realloc(qu->heap, qu->capacity * sizeof(struct queue_entry *));
    if (qu->heap == NULL) {
        abort();
    }
}

void
queue_put(struct queue *qu, struct queue_entry *q)
{
    size_t i;

    if (q->heap_pos == 0) {
        heap_grow(qu);
        if (q->sequence == 0) {
            q->sequence = ++qu->last_sequence;
        }
        heap_set(qu, qu->n++, q);
    }
    i = q->heap_pos - 1;
    sift_up(qu, i);
    sift_down(qu, q->heap_pos - 1);
}

void
queue_remove(struct queue *qu, struct queue_entry *q)
{
    size_t i = q->heap_pos;
    struct queue_entry *last;

    if (i == 0) {
        return;
    }
    i--;
    q->heap_pos = 0;
    last = qu->heap[--qu->n];
    if (last == q) {
        return;
    }
    heap_set(qu, i, last);
    sift_up(qu, i);
    sift_down(qu, last->heap_pos - 1);
}

struct queue_entry *
queue_first(const struct queue *qu)
{
    return qu->n > 0 ? qu->heap[0] : NULL;
}

void
queue_clear(struct queue *qu)
{
    free(qu->heap);
    memset(qu, 0, sizeof(*qu));
}
