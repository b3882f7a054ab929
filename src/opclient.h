/**
 * DOC: opclient - the operators' side of bm-control's HTTP interface
 *
 * Goes to the leader by redirections and to the next member when one fails,
 * until a time is over.  Changes are signed anew for every attempt.
 */
#ifndef BM_OPCLIENT_H
#define BM_OPCLIENT_H

#include "fetch.h"
#include "opsign.h"

enum { OPCLIENT_ADDRESSES_MAX = 16 };

/**
 * struct opclient_options - how to construct a client
 * @addresses: base URLs; the first is asked first
 * @signer: signs changes; NULL for reading alone
 * @timeout_ms: for a request with all its attempts
 */
struct opclient_options {
    char addresses[OPCLIENT_ADDRESSES_MAX][ADDRESS_SIZE];
    size_t n_addresses;
    const struct opsign_operator *signer;
    int64_t timeout_ms;
};

/** struct opclient_request - what to ask */
struct opclient_request {
    const char *method;
    const char *path;
    const char *query; /* with its "?"; may be empty */
    const char *body;  /* NULL for none */
};

struct opclient;

/** opclient_new() - NULL when memory is out or there is no address */
struct opclient *opclient_new(const struct opclient_options *o);

/** opclient_free() - NULL is allowed */
void opclient_free(struct opclient *c);

/** opclient_run() - asks until there is an answer other than "not now";
 * @reply is to be cleared.  Returns true when some attempt ended without
 * telling whether it changed anything. */
bool opclient_run(struct opclient *c, const struct opclient_request *request,
                  struct fetch_reply *reply);

/** opclient_add_addresses() - reads addresses with commas between them;
 * returns NULL or what is wrong */
const char *opclient_add_addresses(struct opclient_options *o,
                                   const char *list);

#endif
