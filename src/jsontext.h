/**
 * DOC: jsontext - text of unknown origin as a JSON string
 */
#ifndef BM_JSONTEXT_H
#define BM_JSONTEXT_H

#include <jansson.h>

/** jsontext_lenient() - a JSON string of @text, cut to 511 bytes where it is
 * not UTF-8, and then with '?' for all that is not ASCII.  jansson refuses
 * such text, and a log line or problem without it would hide just the hostile
 * input that it is about. */
json_t *jsontext_lenient(const char *text);

#endif
