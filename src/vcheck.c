#include "vnet.h"

uint32_t
vcheck_judge(struct vnet *n)
{
    uint32_t broken = 0;

    for (int p = 0; p < PROMISES; p++) {
        broken += n->broken[p] > 0 ? 1 : 0;
    }
    return broken;
}
