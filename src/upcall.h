/**
 * DOC: upcall - one request to an upstream and what its answer means
 *
 * Internal to upclient.
 */
#ifndef BM_UPCALL_H
#define BM_UPCALL_H

#include <curl/curl.h>
#include <sys/queue.h>

#include "upclient.h"

enum { URL_SIZE = 256, HEADER_SIZE = 96, TASK_SIZE = 48 };

/** enum naming - which task the answer to a start is for, by its own word */
enum naming { NAMING_NONE, NAMING_OURS, NAMING_OTHER };

/**
 * struct upcall - a request on its way
 * @effect: an EF_START, EF_REVOKE or EF_FENCE, owned
 * @begun_us: monotonic time when it was handed over
 * @attempts: times libcurl was about to send the request
 * @body: to be sent
 * @sent: bytes of @body given to libcurl
 * @answer: the body that came back
 * @task: name of the task, as in the URL
 * @naming: whether the answer names it
 * @not_started: the answer has Boragemoor-Started: no
 * @too_long: the answer was cut at @answer_max
 */
struct upcall {
    struct mail mail;
    LIST_ENTRY(upcall) active;
    struct effect effect;
    int64_t begun_us;
    CURL *easy;
    struct curl_slist *headers;
    int attempts;
    struct blob *body;
    size_t sent;
    char *answer;
    size_t answer_size;
    size_t answer_room;
    size_t answer_max;
    int64_t ran_us;
    char task[TASK_SIZE];
    enum naming naming;
    bool not_started;
    bool too_long;
};

/** upcall_prepare() - sets a fresh easy handle up for the call */
void upcall_prepare(struct upcall *u, const struct upclient_options *o);

/** upcall_finish() - the outcome, as an event */
struct envelope *upcall_finish(struct upcall *u, CURLcode result);

/** upcall_free() - all but the easy handle */
void upcall_free(struct upcall *u);

#endif
