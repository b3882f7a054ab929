#include "servicekey.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define KEY(key, kind_, member, least_, most_, def_, unit_, text_)            \
    {key,                                                                     \
     SERVICEKEY_##kind_,                                                      \
     offsetof(struct OWNER, member),                                          \
     least_,                                                                  \
     most_,                                                                   \
     def_,                                                                    \
     unit_,                                                                   \
     text_},

#define OWNER service_conf
static const struct servicekey service_keys[] = {SERVICE_KEY_LIST(KEY)};
#undef OWNER

#define OWNER team_conf
static const struct servicekey team_keys[] = {TEAM_KEY_LIST(KEY)};
#undef OWNER
#undef KEY

enum {
    N_SERVICE_KEYS = sizeof(service_keys) / sizeof(service_keys[0]),
    N_TEAM_KEYS = sizeof(team_keys) / sizeof(team_keys[0]),
    ZONES_TEXT_SIZE = 1024, /* longest list of zones, bytes */
};

static const char *const order_names[] = {
    [ORDER_LEAST_WORK] = "least-work",
    [ORDER_ARRIVAL] = "arrival",
    [ORDER_FAIR] = "fair",
};

const struct servicekey_section servicekey_services = {"service", service_keys,
                                                       N_SERVICE_KEYS};
const struct servicekey_section servicekey_teams = {"team", team_keys,
                                                    N_TEAM_KEYS};

static void
format_milli(int64_t value, char *out, size_t size)
{
    int n = snprintf(out, size, "%lld.%03lld", (long long)(value / 1000),
                     (long long)(value % 1000));

    while (n > 0 && out[n - 1] == '0') {
        out[--n] = '\0';
    }
    if (n > 0 && out[n - 1] == '.') {
        out[n - 1] = '\0';
    }
}

void
servicekey_range(const struct servicekey *key, char *out, size_t size)
{
    char least[24];
    char most[24];

    switch (key->kind) {
    case SERVICEKEY_NAME:
        (void)snprintf(out, size, "1 to %lld of A-Z a-z 0-9 . _ -",
                       (long long)key->max_value);
        return;
    case SERVICEKEY_ZONES:
        (void)snprintf(out, size, "up to %lld names",
                       (long long)key->max_value);
        return;
    case SERVICEKEY_FLAG:
        (void)snprintf(out, size, "true or false");
        return;
    case SERVICEKEY_ORDER:
        (void)snprintf(out, size, "least-work, arrival or fair");
        return;
    case SERVICEKEY_MILLI:
        format_milli(key->min_value, least, sizeof(least));
        format_milli(key->max_value, most, sizeof(most));
        (void)snprintf(out, size, "%s to %s", least, most);
        return;
    case SERVICEKEY_COUNT:
    case SERVICEKEY_MSEC:
        (void)snprintf(out, size, "%lld to %lld", (long long)key->min_value,
                       (long long)key->max_value);
        return;
    }
}

bool
servicekey_name_valid(const char *text)
{
    size_t n = strlen(text);

    if (n == 0 || n >= NAME_SIZE) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("._-", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* The parsers below return false if the text is not allowed. */

static bool
parse_integer(const char *text, int64_t least, int64_t most, int64_t *out)
{
    char *end;
    long long value;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    errno = 0;
    value = strtoll(text, &end, 10);
    if (errno != 0 || *end != '\0' || value < least || value > most) {
        return false;
    }
    *out = value;
    return true;
}

static bool
parse_milli(const char *text, int64_t least, int64_t most, int64_t *out)
{
    char digits[32];
    const char *point = strchr(text, '.');
    size_t whole = point == NULL ? strlen(text) : (size_t)(point - text);
    size_t places = point == NULL ? 0 : strlen(point + 1);

    if (whole == 0 || whole > 12 || places > 3 ||
        (point != NULL && places == 0)) {
        return false;
    }
    (void)snprintf(digits, sizeof(digits), "%.*s%s%s", (int)whole, text,
                   point == NULL ? "" : point + 1, &"000"[places]);
    return parse_integer(digits, least, most, out);
}

static bool
parse_flag(const char *text, bool *out)
{
    *out = strcmp(text, "true") == 0;
    return *out || strcmp(text, "false") == 0;
}

static bool
parse_order(const char *text, enum queue_order *out)
{
    for (size_t i = 0; i < sizeof(order_names) / sizeof(order_names[0]); i++) {
        if (strcmp(text, order_names[i]) == 0) {
            *out = (enum queue_order)i;
            return true;
        }
    }
    return false;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(((const struct name *)a)->s, ((const struct name *)b)->s);
}

static bool
parse_zones(const char *text, struct service_conf *conf)
{
    char copy[ZONES_TEXT_SIZE];
    char *save = NULL;

    conf->n_zones = 0;
    (void)snprintf(copy, sizeof(copy), "%s", text);
    for (char *word = strtok_r(copy, ", \t", &save); word != NULL;
         word = strtok_r(NULL, ", \t", &save)) {
        if (!servicekey_name_valid(word) || conf->n_zones == ZONES_MAX) {
            return false;
        }
        conf->zones[conf->n_zones++] = name_of(word);
    }
    qsort(conf->zones, conf->n_zones, sizeof(conf->zones[0]), compare_names);
    for (size_t i = 1; i < conf->n_zones; i++) {
        if (name_equal(conf->zones[i - 1], conf->zones[i])) {
            return false;
        }
    }
    return true;
}

bool
servicekey_parse(const struct servicekey *key, const char *text, void *conf)
{
    char *member = (char *)conf + key->offset;
    int64_t number = 0;
    bool valid = true;

    switch (key->kind) {
    case SERVICEKEY_NAME:
        valid = servicekey_name_valid(text);
        *(struct name *)member = name_of(text);
        break;
    case SERVICEKEY_COUNT:
        valid = parse_integer(text, key->min_value, key->max_value, &number);
        *(uint32_t *)member = (uint32_t)number;
        break;
    case SERVICEKEY_MILLI:
        valid = parse_milli(text, key->min_value, key->max_value, &number);
        *(uint32_t *)member = (uint32_t)number;
        break;
    case SERVICEKEY_MSEC:
        valid = parse_integer(text, key->min_value, key->max_value, &number);
        *(int64_t *)member = number * USEC_PER_MSEC;
        break;
    case SERVICEKEY_FLAG:
        valid = parse_flag(text, (bool *)member);
        break;
    case SERVICEKEY_ORDER:
        valid = parse_order(text, (enum queue_order *)member);
        break;
    case SERVICEKEY_ZONES:
        valid = parse_zones(text, conf);
        break;
    }
    return valid;
}

static void
print_zones(FILE *f, const struct service_conf *conf)
{
    for (size_t i = 0; i < conf->n_zones; i++) {
        (void)fprintf(f, "%s%s", i > 0 ? ", " : "", conf->zones[i].s);
    }
}

void
servicekey_print(FILE *f, const struct servicekey *key, const void *conf)
{
    const char *member = (const char *)conf + key->offset;
    char text[32];

    switch (key->kind) {
    case SERVICEKEY_NAME:
        (void)fputs(((const struct name *)member)->s, f);
        break;
    case SERVICEKEY_COUNT:
        (void)fprintf(f, "%u", *(const uint32_t *)member);
        break;
    case SERVICEKEY_MILLI:
        format_milli(*(const uint32_t *)member, text, sizeof(text));
        (void)fputs(text, f);
        break;
    case SERVICEKEY_MSEC:
        (void)fprintf(f, "%lld",
                      (long long)(*(const int64_t *)member / USEC_PER_MSEC));
        break;
    case SERVICEKEY_FLAG:
        (void)fputs(*(const bool *)member ? "true" : "false", f);
        break;
    case SERVICEKEY_ORDER:
        (void)fputs(order_names[*(const enum queue_order *)member], f);
        break;
    case SERVICEKEY_ZONES:
        print_zones(f, conf);
        break;
    }
}
