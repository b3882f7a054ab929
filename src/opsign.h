/**
 * DOC: opsign - signatures of operators' changes (libsodium)
 *
 * Both ends: docs/control-api.md, "Signing".  A signature is crypto_auth()
 * (HMAC-SHA-512-256) with the operator's key over
 * METHOD "\n" PATH "\n" OPERATOR "\n" TIME "\n" NONCE "\n" BODY.
 */
#ifndef BM_OPSIGN_H
#define BM_OPSIGN_H

#include "base.h"

enum {
    OPSIGN_KEY_SIZE = 32,   /* bytes */
    OPSIGN_NONCE_SIZE = 33, /* hexadecimal digits with terminator */
    OPSIGN_TEXT_SIZE = 65,  /* of a signature, with terminator */
    OPSIGN_OPERATORS_MAX = 256,
};

/** struct opsign_operator - one line of the operators' file */
struct opsign_operator {
    struct name name;
    unsigned char key[OPSIGN_KEY_SIZE];
};

/** struct opsign_operators - the whole file */
struct opsign_operators {
    struct opsign_operator items[OPSIGN_OPERATORS_MAX];
    size_t n;
};

/** struct opsign_request - what is signed */
struct opsign_request {
    const char *method;
    const char *path; /* without the query */
    struct name operator_name;
    int64_t time_us; /* wall time */
    const char *nonce;
    const char *body; /* may be NULL when @size is 0 */
    size_t size;
};

/** opsign_setup() - once per process; false when libsodium cannot start */
bool opsign_setup(void);

/** opsign_read_file() - reads an operators' file, which nobody but its owner
 * may read.  Returns false and writes file, line and mistake to @error. */
bool opsign_read_file(const char *path, struct opsign_operators *out,
                      char *error, size_t size);

/** opsign_find() - the operator of that name, or NULL */
const struct opsign_operator *
opsign_find(const struct opsign_operators *operators, struct name name);

/** opsign_choose() - the operator of that name in a file, or its first where
 * @name is NULL; NULL with the mistake in @error */
const struct opsign_operator *opsign_choose(const char *path, const char *name,
                                            struct opsign_operators *room,
                                            char *error, size_t size);

/** opsign_nonce() - draws a new nonce */
void opsign_nonce(char out[OPSIGN_NONCE_SIZE]);

/** opsign_sign() - writes the signature as hexadecimal digits; false when
 * memory is out */
bool opsign_sign(const struct opsign_request *request,
                 const unsigned char key[OPSIGN_KEY_SIZE],
                 char out[OPSIGN_TEXT_SIZE]);

/** opsign_verify() - whether @text is the signature of @request, compared in
 * constant time */
bool opsign_verify(const struct opsign_request *request,
                   const unsigned char key[OPSIGN_KEY_SIZE], const char *text);

#endif
