#include "opsign.h"

#include <errno.h>
#include <ini.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

_Static_assert(OPSIGN_KEY_SIZE == crypto_auth_KEYBYTES, "size of a key");
_Static_assert(OPSIGN_TEXT_SIZE == 2 * crypto_auth_BYTES + 1,
               "size of a signature");

bool
opsign_setup(void)
{
    return sodium_init() >= 0;
}

/* One key in the file, with the mistake of the first bad one. */
struct reader {
    struct opsign_operators *out;
    const char *wrong;
};

static const char *
take_operator(struct opsign_operators *out, const char *name, const char *hex)
{
    struct opsign_operator *o = &out->items[out->n];
    size_t n = 0;

    if (out->n == OPSIGN_OPERATORS_MAX) {
        return "more than 256 operators";
    }
    if (strlen(name) >= NAME_SIZE || *name == '\0') {
        return "a name has 1 to 47 characters";
    }
    if (opsign_find(out, name_of(name)) != NULL) {
        return "the operator stands there twice";
    }
    if (strlen(hex) != 2 * (size_t)OPSIGN_KEY_SIZE ||
        sodium_hex2bin(o->key, sizeof(o->key), hex, strlen(hex), NULL, &n,
                       NULL) != 0 ||
        n != OPSIGN_KEY_SIZE) {
        return "a key is 64 hexadecimal digits";
    }
    o->name = name_of(name);
    out->n++;
    return NULL;
}

/* Returning 0 makes libinih report the line. */
static int
on_value(void *user, const char *section, const char *name, const char *value)
{
    struct reader *r = user;
    const char *wrong = strcmp(section, "operators") == 0
                            ? take_operator(r->out, name, value)
                            : "the only section is [operators]";

    if (wrong != NULL && r->wrong == NULL) {
        r->wrong = wrong;
    }
    return wrong == NULL;
}

/* A key that others can read is theirs too: they could publish in the
 * operator's name, and the history would show the wrong person. */
static const char *
check_mode(FILE *f)
{
    struct stat st;

    if (fstat(fileno(f), &st) != 0) {
        return strerror(errno);
    }
    return (st.st_mode & (S_IRWXG | S_IRWXO)) == 0
               ? NULL
               : "others than its owner may use the file; chmod 600";
}

bool
opsign_read_file(const char *path, struct opsign_operators *out, char *error,
                 size_t size)
{
    struct reader r = {.out = out};
    FILE *f = fopen(path, "re");
    int line = 0;

    memset(out, 0, sizeof(*out));
    r.wrong = f == NULL ? strerror(errno) : check_mode(f);
    if (r.wrong == NULL) {
        line = ini_parse_file(f, on_value, &r);
    }
    if (line != 0 && r.wrong == NULL) {
        r.wrong = "neither [operators] nor NAME = KEY";
    }
    if (r.wrong == NULL && out->n == 0) {
        r.wrong = "there is no operator";
    }
    if (f != NULL) {
        (void)fclose(f);
    }
    if (r.wrong != NULL) {
        (void)snprintf(error, size, "%s:%d: %s", path, line > 0 ? line : 0,
                       r.wrong);
    }
    return r.wrong == NULL;
}

const struct opsign_operator *
opsign_find(const struct opsign_operators *operators, struct name name)
{
    for (size_t i = 0; i < operators->n; i++) {
        if (name_equal(operators->items[i].name, name)) {
            return &operators->items[i];
        }
    }
    return NULL;
}

const struct opsign_operator *
opsign_choose(const char *path, const char *name,
              struct opsign_operators *room, char *error, size_t size)
{
    const struct opsign_operator *found;

    if (!opsign_read_file(path, room, error, size)) {
        return NULL;
    }
    found = name != NULL ? opsign_find(room, name_of(name)) : &room->items[0];
    if (found == NULL) {
        (void)snprintf(error, size, "%s: no operator %.47s", path, name);
    }
    return found;
}

void
opsign_nonce(char out[OPSIGN_NONCE_SIZE])
{
    unsigned char bytes[(OPSIGN_NONCE_SIZE - 1) / 2];

    randombytes_buf(bytes, sizeof(bytes));
    (void)sodium_bin2hex(out, OPSIGN_NONCE_SIZE, bytes, sizeof(bytes));
}

static bool
compute(const struct opsign_request *request, const unsigned char *key,
        unsigned char mac[crypto_auth_BYTES])
{
    char *text = NULL;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);
    bool good;

    if (f == NULL) {
        return false;
    }
    (void)fprintf(f, "%s\n%s\n%s\n%lld\n%s\n", request->method, request->path,
                  request->operator_name.s, (long long)request->time_us,
                  request->nonce);
    if (request->size > 0) {
        (void)fwrite(request->body, 1, request->size, f);
    }
    good = fclose(f) == 0 &&
           crypto_auth(mac, (const unsigned char *)text, size, key) == 0;
    free(text);
    return good;
}

bool
opsign_sign(const struct opsign_request *request,
            const unsigned char key[OPSIGN_KEY_SIZE],
            char out[OPSIGN_TEXT_SIZE])
{
    unsigned char mac[crypto_auth_BYTES];

    if (!compute(request, key, mac)) {
        return false;
    }
    (void)sodium_bin2hex(out, OPSIGN_TEXT_SIZE, mac, sizeof(mac));
    return true;
}

bool
opsign_verify(const struct opsign_request *request,
              const unsigned char key[OPSIGN_KEY_SIZE], const char *text)
{
    char right[OPSIGN_TEXT_SIZE];

    return opsign_sign(request, key, right) &&
           strlen(text) == OPSIGN_TEXT_SIZE - 1 &&
           sodium_memcmp(right, text, OPSIGN_TEXT_SIZE - 1) == 0;
}
