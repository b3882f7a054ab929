#include "texttable.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

struct texttable {
    size_t columns;
    char (*cells)[TEXTTABLE_CELL_SIZE]; /* the header is the first row */
    size_t n;
    size_t room;
};

struct texttable *
texttable_new(const char *header)
{
    struct texttable *t = calloc(1, sizeof(*t));
    const char *at = header;

    if (t == NULL) {
        return NULL;
    }
    while (*at != '\0') {
        size_t n = strcspn(at, ",");

        texttable_cell(t, "%.*s", (int)n, at);
        t->columns++;
        at += at[n] == ',' ? n + 1 : n;
    }
    return t;
}

void
texttable_free(struct texttable *t)
{
    if (t != NULL) {
        free(t->cells);
        free(t);
    }
}

void
texttable_cell(struct texttable *t, const char *format, ...)
{
    va_list args;

    if (t->n == t->room) {
        size_t room = t->room > 0 ? 2 * t->room : 64;
        void *grown = realloc(t->cells, room * sizeof(*t->cells));

        if (grown == NULL) {
            return;
        }
        t->cells = grown;
        t->room = room;
    }
    va_start(args, format);
    (void)vsnprintf(t->cells[t->n++], TEXTTABLE_CELL_SIZE, format, args);
    va_end(args);
}

static int
width_of(const struct texttable *t, size_t column)
{
    size_t width = 0;

    for (size_t i = column; i < t->n; i += t->columns) {
        size_t n = strlen(t->cells[i]);

        width = n > width ? n : width;
    }
    return (int)width;
}

void
texttable_print(const struct texttable *t, FILE *out)
{
    for (size_t row = 0; (row + 1) * t->columns <= t->n; row++) {
        for (size_t c = 0; c < t->columns; c++) {
            const char *cell = t->cells[row * t->columns + c];

            if (c + 1 < t->columns) {
                (void)fprintf(out, "%-*s  ", width_of(t, c), cell);
            }
            else {
                (void)fprintf(out, "%s\n", cell);
            }
        }
    }
}
