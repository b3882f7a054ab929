#include "jsontext.h"

#include <stdio.h>

enum { TEXT_SIZE = 512 };

json_t *
jsontext_lenient(const char *text)
{
    json_t *s = json_string(text);
    char plain[TEXT_SIZE];

    if (s != NULL) {
        return s;
    }
    (void)snprintf(plain, sizeof(plain), "%s", text);
    for (char *p = plain; *p != '\0'; p++) {
        if ((unsigned char)*p >= 0x80) {
            *p = '?';
        }
    }
    return json_string(plain);
}
