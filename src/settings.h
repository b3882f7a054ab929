/**
 * DOC: settings - checked INI files, for every program
 *
 * A program lists what it knows in a table of struct setting.  Reading checks
 * the whole file against the table and reports every error, each with its
 * line and with what is allowed; only a file without errors gives values.
 */
#ifndef BM_SETTINGS_H
#define BM_SETTINGS_H

#include <stdio.h>

#include "base.h"

enum setting_type {
    SETTING_INT,     /* whole number, @min to @max */
    SETTING_NAME,    /* letters, digits, '-', '_' and '.' */
    SETTING_NAMES,   /* names with commas between them */
    SETTING_ADDRESS, /* IP:PORT, or [IP]:PORT for version 6 */
    SETTING_TEXT,    /* @min to @max bytes */
    SETTING_CHOICE,  /* one of @choices */
};

/**
 * struct setting - one key that a file may hold
 * @section: "" before the first section, "limits" for [limits], or "peer *"
 *           for any number of [peer NAME]
 * @key: its unit is part of the name (_ms, _s, _mb)
 * @type: see enum setting_type
 * @required: refused where it is missing; for "peer *" in each such section
 * @unit: for people; NULL where there is none
 * @min: least value, or least length of a text
 * @max: greatest value, or greatest length
 * @fallback: taken where the key is missing; NULL for none
 * @choices: words with '|' between them
 * @help: one line
 */
struct setting {
    const char *section;
    const char *key;
    enum setting_type type;
    bool required;
    const char *unit;
    int64_t min;
    int64_t max;
    const char *fallback;
    const char *choices;
    const char *help;
};

/** struct settings_error - one thing wrong with a file */
struct settings_error {
    int line; /* 0: about the file as a whole */
    char text[240];
};

struct settings;

/** settings_read_file() - reads and checks a file.  Never NULL but when
 * memory is out; ask settings_errors() before taking values. */
struct settings *settings_read_file(const struct setting *table, size_t n,
                                    const char *path);

/** settings_read_text() - the same for text in memory; @name stands for it in
 * messages */
struct settings *settings_read_text(const struct setting *table, size_t n,
                                    const char *name, const char *text);

/**
 * struct settings_load - how a program takes its values
 * @table: of @n keys
 * @take: called when the file is right; may add errors
 */
struct settings_load {
    const struct setting *table;
    size_t n;
    void (*take)(void *user);
    void *user;
};

/** settings_load() - reads a file into *@file and takes its values; returns
 * false, with every error printed to @errors, where something is wrong */
bool settings_load(struct settings **file, const struct settings_load *l,
                   const char *path, FILE *errors);

/** settings_free() - NULL is allowed */
void settings_free(struct settings *s);

/** settings_errors() - what is wrong, in the order of lines; @n their number
 */
const struct settings_error *settings_errors(const struct settings *s,
                                             size_t *n);

/** settings_add_error() - adds what a program's own check found; printf-
 * formatted.  @line as from settings_line(), or 0. */
void settings_add_error(struct settings *s, int line, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** settings_print_errors() - one line each: FILE:LINE: TEXT */
void settings_print_errors(const struct settings *s, FILE *out);

/** settings_count() - how many sections [KIND NAME] the file has */
size_t settings_count(const struct settings *s, const char *kind);

/** settings_name() - NAME of the @i-th section [KIND NAME], in file order */
const char *settings_name(const struct settings *s, const char *kind,
                          size_t i);

/** settings_text() - value or default of a key; NULL where there is neither.
 * @section as it stands in the file: "limits", "peer e2". */
const char *settings_text(const struct settings *s, const char *section,
                          const char *key);

/** settings_named_text() - the same of a section [@kind @name] */
const char *settings_named_text(const struct settings *s, const char *kind,
                                const char *name, const char *key);

/** settings_int() - value of a SETTING_INT; 0 where there is none */
int64_t settings_int(const struct settings *s, const char *section,
                     const char *key);

/** settings_choice() - index of the value in the setting's choices; -1 where
 * there is none */
int settings_choice(const struct settings *s, const char *section,
                    const char *key);

/** settings_line() - line of a key in the file; 0 where it is a default */
int settings_line(const struct settings *s, const char *section,
                  const char *key);

/** settings_help() - prints the table: keys, units, ranges, defaults */
void settings_help(const struct setting *table, size_t n, FILE *out);

#endif
