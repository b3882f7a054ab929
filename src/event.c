#include "event.h"

const char *
event_name(enum event_kind kind)
{
    static const char *const names[] = {
#define EVENT(NAME, member, text) #NAME,
        EVENT_LIST(EVENT)
#undef EVENT
    };

    return kind < EVENT_KINDS ? names[kind] : "UNKNOWN";
}
