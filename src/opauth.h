/**
 * DOC: opauth - whether a request is signed by an operator, and only once
 *
 * The signature is checked first; only then is the nonce remembered, so that
 * nobody but an operator can fill the table.
 */
#ifndef BM_OPAUTH_H
#define BM_OPAUTH_H

#include "opsign.h"

enum opauth_result {
    OPAUTH_OK,
    OPAUTH_NOT_SIGNED, /* no operator, or the signature is not his */
    OPAUTH_STALE,      /* the time is off, or the nonce was used */
};

/** struct opauth_headers - as they came; NULL where one is missing */
struct opauth_headers {
    const char *operator_name;
    const char *time;
    const char *nonce;
    const char *auth;
};

struct opauth;

/** opauth_new() - @operators is copied; @window_us is how far a request's time
 * may be off */
struct opauth *opauth_new(const struct opsign_operators *operators,
                          int64_t window_us);

/** opauth_free() - NULL is allowed */
void opauth_free(struct opauth *a);

/** opauth_check() - @request has method, path and body; the rest is filled in
 * from @headers.  From any thread. */
enum opauth_result opauth_check(struct opauth *a,
                                struct opsign_request *request,
                                const struct opauth_headers *headers,
                                int64_t now_wall_us);

#endif
