#include "wirescan.h"

/* Leading bytes of the msgpack format, as its specification names them. */
enum {
    FIXINT_LAST = 0x7f,
    FIXARRAY = 0x90,
    FIXSTR = 0xa0,
    FIRST_LONG = 0xc0,
    LAST_LONG = 0xdf,
    NEGATIVE_FIXINT = 0xe0,
};

enum kind {
    BAD,    /* unused, a map or an extension */
    SCALAR, /* @bytes of value follow */
    TEXT,   /* @bytes of length follow, then so many bytes */
    ARRAY,  /* @bytes of count follow, then so many elements */
};

static const struct {
    enum kind kind;
    unsigned int bytes;
} long_forms[LAST_LONG - FIRST_LONG + 1] = {
    {SCALAR, 0}, {BAD, 0},    {SCALAR, 0}, {SCALAR, 0}, /* nil - true */
    {TEXT, 1},   {TEXT, 2},   {TEXT, 4},   {BAD, 0},    /* bin, ext */
    {BAD, 0},    {BAD, 0},    {SCALAR, 4}, {SCALAR, 8}, /* ext, float */
    {SCALAR, 1}, {SCALAR, 2}, {SCALAR, 4}, {SCALAR, 8}, /* uint */
    {SCALAR, 1}, {SCALAR, 2}, {SCALAR, 4}, {SCALAR, 8}, /* int */
    {BAD, 0},    {BAD, 0},    {BAD, 0},    {BAD, 0},    /* fixext */
    {BAD, 0},    {TEXT, 1},   {TEXT, 2},   {TEXT, 4},   /* fixext, str */
    {ARRAY, 2},  {ARRAY, 4},  {BAD, 0},    {BAD, 0},    /* array, map */
};

struct scan {
    const unsigned char *at;
    const unsigned char *end;
    size_t elements;
};

static bool
skip(struct scan *s, size_t n)
{
    if ((size_t)(s->end - s->at) < n) {
        return false;
    }
    s->at += n;
    return true;
}

static bool
read_number(struct scan *s, unsigned int bytes, size_t *out)
{
    const unsigned char *p = s->at;

    if (!skip(s, bytes)) {
        return false;
    }
    *out = 0;
    for (unsigned int i = 0; i < bytes; i++) {
        *out = *out << 8 | p[i];
    }
    return true;
}

static enum wire_error
add_elements(struct scan *s, size_t n)
{
    s->elements += n;
    if (n > WIRE_ARRAY_MAX || s->elements > WIRE_ELEMENTS_MAX) {
        return WIRE_TOO_LARGE;
    }
    return n <= (size_t)(s->end - s->at) ? WIRE_OK : WIRE_MALFORMED;
}

static enum wire_error
scan_long(struct scan *s, unsigned int lead)
{
    enum kind kind = long_forms[lead - FIRST_LONG].kind;
    unsigned int bytes = long_forms[lead - FIRST_LONG].bytes;
    size_t n = 0;

    if (kind == BAD) {
        return WIRE_MALFORMED;
    }
    if (kind == SCALAR) {
        return skip(s, bytes) ? WIRE_OK : WIRE_MALFORMED;
    }
    if (!read_number(s, bytes, &n)) {
        return WIRE_MALFORMED;
    }
    if (kind == ARRAY) {
        return add_elements(s, n);
    }
    return skip(s, n) ? WIRE_OK : WIRE_MALFORMED;
}

static enum wire_error
scan_one(struct scan *s)
{
    unsigned int lead = *s->at++;

    if (lead <= FIXINT_LAST || lead >= NEGATIVE_FIXINT) {
        return WIRE_OK;
    }
    if (lead >= FIRST_LONG) {
        return scan_long(s, lead);
    }
    if (lead >= FIXSTR) {
        return skip(s, lead - FIXSTR) ? WIRE_OK : WIRE_MALFORMED;
    }
    return lead >= FIXARRAY ? add_elements(s, lead - FIXARRAY)
                            : WIRE_MALFORMED;
}

enum wire_error
wire_scan(const void *data, size_t size)
{
    struct scan s = {.at = data};
    enum wire_error err = WIRE_OK;

    s.end = s.at + size;
    while (err == WIRE_OK && s.at < s.end) {
        err = scan_one(&s);
    }
    return err;
}
