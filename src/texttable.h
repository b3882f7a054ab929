/**
 * DOC: texttable - tables for people, columns as wide as their longest cell
 */
#ifndef BM_TEXTTABLE_H
#define BM_TEXTTABLE_H

#include <stdio.h>

enum { TEXTTABLE_COLUMNS_MAX = 12, TEXTTABLE_CELL_SIZE = 96 };

struct texttable;

/** texttable_new() - with its header, names with commas between them; NULL
 * when memory is out */
struct texttable *texttable_new(const char *header);

/** texttable_free() - NULL is allowed */
void texttable_free(struct texttable *t);

/** texttable_cell() - fills the next cell, row by row; printf-formatted */
void texttable_cell(struct texttable *t, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** texttable_print() - writes the header and all whole rows */
void texttable_print(const struct texttable *t, FILE *out);

#endif
