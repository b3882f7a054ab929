#include "mailbox.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Concurrency Kit's atomics are inline assembly, which ThreadSanitizer cannot
 * see: it is told what they order, and not to look inside them. */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
void AnnotateIgnoreReadsBegin(const char *file, int line);
void AnnotateIgnoreReadsEnd(const char *file, int line);
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);
#define CK_BEGIN()                                                            \
    do {                                                                      \
        AnnotateIgnoreReadsBegin(__FILE__, __LINE__);                         \
        AnnotateIgnoreWritesBegin(__FILE__, __LINE__);                        \
    } while (0)
#define CK_END()                                                              \
    do {                                                                      \
        AnnotateIgnoreWritesEnd(__FILE__, __LINE__);                          \
        AnnotateIgnoreReadsEnd(__FILE__, __LINE__);                           \
    } while (0)
#define HAND_OVER(item) __tsan_release(item)
#define TAKE_OVER(item) __tsan_acquire(item)
#else
#define CK_BEGIN() (void)0
#define CK_END() (void)0
#define HAND_OVER(item) (void)(item)
#define TAKE_OVER(item) (void)(item)
#endif

int
mailbox_init(struct mailbox *m, unsigned int room)
{
    memset(m, 0, sizeof(*m));
    m->slots = calloc(room, sizeof(*m->slots));
    if (m->slots == NULL) {
        return ENOMEM;
    }
    m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (m->fd < 0) {
        free(m->slots);
        return errno;
    }
    ck_stack_init(&m->posted);
    ck_ring_init(&m->ring, room);
    return 0;
}

void
mailbox_destroy(struct mailbox *m)
{
    (void)close(m->fd);
    free(m->slots);
}

void
mailbox_wake(struct mailbox *m)
{
    uint64_t one = 1;

    (void)!write(m->fd, &one, sizeof(one));
}

/* The item is in before the flag is read, and the taker sets the flag before
 * it looks for items: without both fences it could sleep on an item. */
static void
wake_if_asleep(struct mailbox *m)
{
    ck_pr_fence_memory();
    if (ck_pr_load_uint(&m->asleep) != 0 &&
        ck_pr_fas_uint(&m->asleep, 0) != 0) {
        mailbox_wake(m);
    }
}

void
mailbox_post(struct mailbox *m, struct mail *item)
{
    HAND_OVER(item);
    CK_BEGIN();
    ck_stack_push_mpmc(&m->posted, &item->link);
    wake_if_asleep(m);
    CK_END();
}

bool
mailbox_offer(struct mailbox *m, struct mail *item)
{
    bool taken;

    HAND_OVER(item);
    CK_BEGIN();
    taken = ck_ring_enqueue_mpsc(&m->ring, m->slots, item);
    if (taken) {
        wake_if_asleep(m);
    }
    CK_END();
    return taken;
}

/* The stack gives the newest first. */
static struct mail *
in_order(ck_stack_entry_t *entry)
{
    ck_stack_entry_t *list = NULL;

    while (entry != NULL) {
        ck_stack_entry_t *next = entry->next;

        entry->next = list;
        list = entry;
        entry = next;
    }
    return (struct mail *)list;
}

struct mail *
mailbox_take(struct mailbox *m)
{
    struct mail *item = NULL;
    void *offered = NULL;

    CK_BEGIN();
    if (m->ready == NULL && !CK_STACK_ISEMPTY(&m->posted)) {
        m->ready = in_order(ck_stack_batch_pop_mpmc(&m->posted));
    }
    if (m->ready != NULL) {
        item = m->ready;
        m->ready = (struct mail *)item->link.next;
    }
    else if (ck_ring_dequeue_mpsc(&m->ring, m->slots, &offered)) {
        item = offered;
    }
    CK_END();
    if (item != NULL) {
        TAKE_OVER(item);
    }
    return item;
}

bool
mailbox_doze(struct mailbox *m)
{
    bool empty;

    CK_BEGIN();
    ck_pr_store_uint(&m->asleep, 1);
    ck_pr_fence_memory();
    empty = m->ready == NULL && CK_STACK_ISEMPTY(&m->posted) &&
            ck_ring_size(&m->ring) == 0;
    if (!empty) {
        ck_pr_store_uint(&m->asleep, 0);
    }
    CK_END();
    return empty;
}

void
mailbox_rouse(struct mailbox *m, bool readable)
{
    uint64_t count;

    ck_pr_store_uint(&m->asleep, 0);
    if (readable) {
        (void)!read(m->fd, &count, sizeof(count));
    }
}

void
mailbox_wait(struct mailbox *m, int64_t timeout_us)
{
    struct pollfd p = {.fd = m->fd, .events = POLLIN};
    struct timespec t = {.tv_sec = timeout_us / USEC_PER_SEC,
                         .tv_nsec = timeout_us % USEC_PER_SEC * 1000};

    if (timeout_us <= 0 || !mailbox_doze(m)) {
        return;
    }
    mailbox_rouse(m, ppoll(&p, 1, &t, NULL) > 0);
}
