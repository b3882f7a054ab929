#include "fake_record.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

const char *
fake_event_text(enum fake_event event)
{
    static const char *const words[] = {
#define RECORD_EVENT(NAME, word) word,
        FAKE_EVENT_LIST(RECORD_EVENT)
#undef RECORD_EVENT
    };

    return words[event];
}

int
fake_record_open(const char *path)
{
    return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void
fake_record_write(int fd, int64_t wall_us, enum fake_event event,
                  const char *task, uint64_t epoch, const char *detail)
{
    json_t *line;
    char *text;

    if (fd < 0) {
        return;
    }
    line = json_pack("{s:I, s:s, s:s, s:I, s:s}", "t_us", (json_int_t)wall_us,
                     "event", fake_event_text(event), "task",
                     task != NULL ? task : "", "epoch", (json_int_t)epoch,
                     "detail", detail != NULL ? detail : "");
    text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text != NULL) {
        size_t n = strlen(text);

        text[n] = '\n';
        (void)!write(fd, text, n + 1);
    }
    free(text);
}
