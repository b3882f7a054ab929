/**
 * DOC: key - what an Idempotency-Key says: home zone and time of issue
 *
 * Three forms.  Minted by an entry instance:
 * "bm1.ZONE.INSTANCE.INCARNATION.ISSUED.SEQUENCE" (numbers in hexadecimal),
 * whose home is the zone it names.  A version 7 UUID (RFC 9562) carries its
 * time of issue; its home follows from a hash over the region's zones.  Any
 * other text of 1 to 128 visible ASCII characters is a bare key without a
 * time of issue; its home is found by the same hash.
 */
#ifndef BM_KEY_H
#define BM_KEY_H

#include "base.h"

/** struct key_ref - a key as the claim protocol needs it */
struct key_ref {
    struct key_id id;
    struct name zone;  /* home */
    int64_t issued_us; /* wall time; 0 for a bare key */
};

enum key_error {
    KEY_OK,
    KEY_EMPTY,
    KEY_TOO_LONG,
    KEY_BAD_CHARACTER,
    KEY_UNKNOWN_ZONE
};

/** key_check() - whether the text may be a key at all */
enum key_error key_check(const char *text);

/** key_error_text() - one clause that says what is allowed */
const char *key_error_text(enum key_error err);

/** key_parse() - @zones is the region's zones, sorted by name */
enum key_error key_parse(const char *text, const struct name *zones,
                         size_t n_zones, struct key_ref *out);

/** key_mint() - writes a new key to @out */
void key_mint(struct name zone, struct name instance, uint64_t incarnation,
              int64_t issued_us, uint64_t sequence, char out[KEY_TEXT_SIZE]);

#endif
