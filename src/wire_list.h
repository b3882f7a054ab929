/*
 * The records that travel between processes, kept once.  A file that includes
 * this list defines RECORD, the field macros and END first; wire.h makes the
 * structs of it, wire.c the encoder, decoder, copy and free.
 *
 * Fields: U64(name) NAME(name) ADDR(name) KEY(name) BLOB(name)
 * ARRAY(record, name) - the last makes a pointer and n_<name>.
 * A record is listed before those that hold it.
 */
/* clang-format off */
RECORD(load)            /* a service's load at the sender */
    NAME(service)
    U64(free_slots)     /* free slots on upstreams the sender holds */
    U64(backlog)        /* tasks queued at the sender */
    U64(running)        /* tasks of the service started by the sender */
END(load)

RECORD(upstream_ref)
    NAME(upstream)
    U64(incarnation)
    U64(busy)           /* tasks it says it runs */
END(upstream_ref)

RECORD(upstream_info)
    NAME(upstream)
    U64(incarnation)
    NAME(zone)
    NAME(rack)
    NAME(service)
    ADDR(address)
    U64(slots)
    U64(connections)
    U64(cpu_milli)
    U64(memory_mb)
    U64(accelerators)
    U64(leaving)
    U64(busy)
    U64(epoch)          /* highest epoch the sender knows of */
    NAME(holder)        /* who has that epoch; empty while nobody */
END(upstream_info)

RECORD(heartbeat)
    U64(incarnation)
    U64(stopping)
    U64(config_version)
    ARRAY(load, loads)
    ARRAY(upstream_ref, renewed)  /* announced at the sender since the last */
END(heartbeat)

RECORD(voter_view)      /* the newest incarnation of a voter the sender met */
    NAME(voter)
    U64(incarnation)
END(voter_view)

RECORD(claim)
    KEY(key)
    NAME(zone)          /* home zone of the key */
    U64(issued_us)      /* wall time of issue; 0 for a bare key */
    U64(digest)         /* of the job; 0 for a cancel */
    U64(purpose)        /* enum claim_purpose */
    U64(attempt)
    U64(incarnation)    /* of the claimer */
END(claim)

RECORD(claim_reply)
    KEY(key)
    NAME(zone)
    U64(attempt)
    U64(verdict)        /* enum claim_verdict */
    NAME(claimer)       /* who has it, where taken */
    U64(claimer_incarnation)
    U64(digest)
    U64(purpose)
    U64(voter_incarnation)
    ARRAY(voter_view, views)
END(claim_reply)

RECORD(claim_release)   /* the claimer gave up before any start */
    KEY(key)
    NAME(zone)
    U64(attempt)
    U64(incarnation)
END(claim_release)

RECORD(claim_find)      /* look up, without claiming */
    KEY(key)
    NAME(zone)
    U64(attempt)
END(claim_find)

RECORD(claim_copy)
    KEY(key)
    U64(expires_us)     /* wall time */
    U64(digest)
    U64(purpose)
    U64(attempt)
    NAME(claimer)
    U64(incarnation)
END(claim_copy)

RECORD(sync_request)    /* a voter that restarted empty asks for claims */
    NAME(zone)
    U64(incarnation)
    U64(page)
END(sync_request)

RECORD(sync_reply)
    NAME(zone)
    U64(incarnation)    /* of the sender */
    U64(for_incarnation) /* of the asker */
    U64(ready)          /* the sender itself has all its claims */
    U64(page)
    U64(more)
    ARRAY(claim_copy, claims)
END(sync_reply)

RECORD(task_answer)
    U64(state)          /* enum task_state */
    U64(ok)             /* the upstream reported success */
    BLOB(result)
END(task_answer)

RECORD(job_wait)        /* a second arrival waits at the claimer */
    KEY(key)
    U64(digest)         /* 0: any (asking again by key alone) */
    U64(wait)           /* number chosen by the asker */
    U64(cancel)         /* ask for a cancel as well */
    U64(peek)           /* answer at once, running or not */
END(job_wait)

RECORD(job_answer)
    KEY(key)
    U64(wait)
    U64(outcome)        /* enum wait_outcome */
    U64(status)         /* enum job_status */
    U64(reason)         /* enum reason */
    ARRAY(task_answer, tasks)
END(job_answer)

RECORD(upstream_news)
    ARRAY(upstream_info, upstreams)
END(upstream_news)

RECORD(slot_request)
    U64(request)
    NAME(service)
    U64(count)
    U64(cpu_milli)      /* needed in each slot */
    U64(memory_mb)
    U64(accelerators)
END(slot_request)

RECORD(grant)           /* slots on one upstream, lent to the asker */
    U64(grant)
    NAME(upstream)
    U64(incarnation)
    NAME(zone)
    ADDR(address)
    U64(epoch)
    U64(slots)
    U64(cpu_milli)      /* in each slot */
    U64(memory_mb)
    U64(accelerators)
    U64(duration_us)    /* the lease of the grant */
END(grant)

RECORD(slot_grant)
    U64(request)
    NAME(service)
    ARRAY(grant, grants)
    U64(free_slots)     /* what is left free at the holder */
END(slot_grant)

RECORD(slot_back)
    U64(grant)
    U64(slots)
    U64(failed)         /* tasks that failed there in a row */
END(slot_back)

RECORD(slot_return)
    ARRAY(slot_back, backs)
END(slot_return)

RECORD(slot_recall)     /* the holder wants idle slots back */
    U64(grant)
    U64(slots)
END(slot_recall)

RECORD(config_request)  /* long poll for a newer configuration */
    U64(have_version)
    U64(incarnation)
    NAME(zone)
END(config_request)

RECORD(config_reply)
    U64(version)
    BLOB(config)        /* canonical text of all service files */
    U64(term)           /* of the log entry, for checks */
END(config_reply)

RECORD(hello)           /* first on a connection, in both directions */
    NAME(sender)
    U64(incarnation)
    U64(heartbeat_us)   /* at least a frame in each such time */
END(hello)
/* clang-format on */
