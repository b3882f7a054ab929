/**
 * DOC: caller - the callers' side of the HTTP interface
 *
 * Knows several entry instances and goes to the next one when one fails.  One
 * thread at a time uses a caller.
 */
#ifndef BM_CALLER_H
#define BM_CALLER_H

#include "submit.h"

enum { CALLER_ENTRIES_MAX = 32 };

/**
 * struct caller_options - how to construct a caller
 * @entries: base URLs; the first is asked first
 * @submit: bounds on the attempts
 * @timeout_ms: for one attempt
 * @seed: for pauses
 * @abort: ends waiting early; may be NULL
 * @wait: sleeps for that long; NULL sleeps by the machine's clock
 * @on_attempt: told of every attempt before the next one; may be NULL
 * @user: handed to @on_attempt
 */
struct caller_options {
    char entries[CALLER_ENTRIES_MAX][ADDRESS_SIZE];
    size_t n_entries;
    struct submit_options submit;
    long timeout_ms;
    uint64_t seed;
    const atomic_bool *abort;
    void (*wait)(int64_t us);
    void (*on_attempt)(void *user, size_t entry,
                       const struct fetch_reply *reply);
    void *user;
};

/** struct caller_result - how a request ended, and the last reply */
struct caller_result {
    enum submit_end end;
    uint32_t attempts;
    struct fetch_reply reply; /* to be cleared */
};

struct caller;

/** caller_new() - NULL when memory is out or there are no entries */
struct caller *caller_new(const struct caller_options *o);

/** caller_free() - NULL is allowed */
void caller_free(struct caller *c);

/** caller_use() - asks that entry instance first from now on */
void caller_use(struct caller *c, size_t entry);

/** caller_mint() - gets a key; @result tells why when it returns false */
bool caller_mint(struct caller *c, char key[KEY_TEXT_SIZE],
                 struct caller_result *result);

/** caller_submit() - submits a job and waits for its answer */
void caller_submit(struct caller *c, const char *key, const char *body,
                   size_t size, struct caller_result *result);

/** caller_get() - asks for a job again; waits where @wait */
void caller_get(struct caller *c, const char *key, bool wait,
                struct caller_result *result);

/** caller_cancel() - cancels a job, also one that was not yet submitted */
void caller_cancel(struct caller *c, const char *key,
                   struct caller_result *result);

/** caller_add_entries() - reads addresses with commas between them; returns
 * NULL or what is wrong */
const char *caller_add_entries(struct caller_options *o, const char *list);

#endif
