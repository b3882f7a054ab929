#include "key.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define KEY_PREFIX "bm1."

enum {
    UUID_SIZE = 36,
    UUID_VERSION_AT = 14,
    UUID_VARIANT_AT = 19,
    UUID_TIME_DIGITS = 12,
    MINTED_NUMBERS = 3,
    HEX_DIGITS_MAX = 16,
};

enum key_error
key_check(const char *text)
{
    size_t n;

    if (text == NULL || text[0] == '\0') {
        return KEY_EMPTY;
    }
    n = strnlen(text, KEY_TEXT_SIZE);
    if (n >= KEY_TEXT_SIZE) {
        return KEY_TOO_LONG;
    }
    for (size_t i = 0; i < n; i++) {
        if (text[i] <= ' ' || text[i] > '~') {
            return KEY_BAD_CHARACTER;
        }
    }
    return KEY_OK;
}

const char *
key_error_text(enum key_error err)
{
    static const char *const texts[] = {
        [KEY_OK] = "the key is right",
        [KEY_EMPTY] = "an Idempotency-Key of 1 to 128 characters is needed",
        [KEY_TOO_LONG] = "an Idempotency-Key has at most 128 characters",
        [KEY_BAD_CHARACTER] =
            "an Idempotency-Key has visible ASCII characters only",
        [KEY_UNKNOWN_ZONE] =
            "the Idempotency-Key was minted for a zone not of this region",
    };

    return texts[err];
}

/* Reads 1 to 16 hexadecimal digits that end at @end; false otherwise. */
static bool
read_hex(const char **at, char end, uint64_t *out)
{
    char *stop = NULL;
    size_t n = strspn(*at, "0123456789abcdef");

    if (n == 0 || n > HEX_DIGITS_MAX || (*at)[n] != end) {
        return false;
    }
    *out = strtoull(*at, &stop, 16);
    *at = stop + (end != '\0' ? 1 : 0);
    return true;
}

/* Reads the part of a minted key up to the next dot. */
static bool
read_name(const char **at, struct name *out)
{
    size_t n = strcspn(*at, ".");

    if (n == 0 || n >= NAME_SIZE || (*at)[n] != '.') {
        return false;
    }
    memset(out, 0, sizeof(*out));
    memcpy(out->s, *at, n);
    *at += n + 1;
    return true;
}

static bool
read_minted(const char *text, struct key_ref *out)
{
    const char *at = text + strlen(KEY_PREFIX);
    uint64_t numbers[MINTED_NUMBERS]; /* incarnation, issued, sequence */
    struct name instance;

    if (strncmp(text, KEY_PREFIX, strlen(KEY_PREFIX)) != 0 ||
        !read_name(&at, &out->zone) || !read_name(&at, &instance)) {
        return false;
    }
    for (int i = 0; i < MINTED_NUMBERS; i++) {
        if (!read_hex(&at, i < MINTED_NUMBERS - 1 ? '.' : '\0', &numbers[i])) {
            return false;
        }
    }
    out->issued_us = (int64_t)numbers[1];
    return out->issued_us > 0;
}

static bool
uuid_shape(const char *text)
{
    if (strlen(text) != UUID_SIZE || text[UUID_VERSION_AT] != '7' ||
        strchr("89abAB", text[UUID_VARIANT_AT]) == NULL) {
        return false;
    }
    for (int i = 0; i < UUID_SIZE; i++) {
        bool dash = i == 8 || i == 13 || i == 18 || i == 23;

        if (dash ? text[i] != '-'
                 : strchr("0123456789abcdefABCDEF", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* The first 48 bits are milliseconds since the Unix epoch (RFC 9562). */
static int64_t
uuid_issued_us(const char *text)
{
    char digits[UUID_TIME_DIGITS + 1];

    memcpy(digits, text, 8);
    memcpy(digits + 8, text + 9, 4);
    digits[UUID_TIME_DIGITS] = '\0';
    return (int64_t)strtoull(digits, NULL, 16) * USEC_PER_MSEC;
}

static bool
zone_known(struct name zone, const struct name *zones, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (name_equal(zones[i], zone)) {
            return true;
        }
    }
    return false;
}

enum key_error
key_parse(const char *text, const struct name *zones, size_t n_zones,
          struct key_ref *out)
{
    enum key_error err = key_check(text);

    memset(out, 0, sizeof(*out));
    if (err != KEY_OK) {
        return err;
    }
    if (read_minted(text, out)) {
        out->id = key_id_of(text);
        return zone_known(out->zone, zones, n_zones) ? KEY_OK
                                                     : KEY_UNKNOWN_ZONE;
    }
    memset(out, 0, sizeof(*out));
    out->id = key_id_of(text);
    if (uuid_shape(text)) {
        out->issued_us = uuid_issued_us(text);
    }
    if (n_zones == 0) {
        return KEY_UNKNOWN_ZONE;
    }
    out->zone = zones[out->id.hi % n_zones];
    return KEY_OK;
}

void
key_mint(struct name zone, struct name instance, uint64_t incarnation,
         int64_t issued_us, uint64_t sequence, char out[KEY_TEXT_SIZE])
{
    (void)snprintf(out, KEY_TEXT_SIZE, KEY_PREFIX "%s.%s.%llx.%llx.%llx",
                   zone.s, instance.s, (unsigned long long)incarnation,
                   (unsigned long long)issued_us,
                   (unsigned long long)sequence);
}
