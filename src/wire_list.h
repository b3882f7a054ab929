/*
 * The records that travel between processes, kept once.  A file that includes
 * this list defines RECORD, the field macros and END first; wire.h makes the
 * structs of it, wire.c the encoder, decoder, copy and free.
 *
 * Fields: U64(name) NAME(name) ADDR(name) KEY(name) BLOB(name)
 * ARRAY(record, name) - the last makes a pointer and n_<name>.
 * Fields behind ADDED(record) may be missing in what an earlier version wrote,
 * and are zero then.  A record is listed before those that hold it.
 */
/* clang-format off */
RECORD(load)            /* a service's load at the sender */
    NAME(service)
    U64(free_slots)     /* free slots on upstreams the sender holds */
    U64(backlog)        /* tasks queued at the sender */
    U64(running)        /* tasks of the service started by the sender */
    U64(cpu_milli)      /* the most that any upstream it knows of has */
    U64(memory_mb)
    U64(accelerators)
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
    U64(quarantined)    /* says its holder */
END(upstream_info)

RECORD(heartbeat)
    U64(incarnation)
    U64(stopping)
    U64(config_version)
    U64(has_loads)      /* the loads are told, even if there are none */
    ARRAY(load, loads)
    ARRAY(upstream_ref, renewed)  /* announced at the sender since the last */
    ADDED(heartbeat)
    U64(evacuation)     /* revision of the evacuated zones in force */
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
    U64(incarnation)    /* of the claimer, as the voters know it */
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
    U64(waited_us)      /* by the job that goes first at the asker */
    U64(handicap_us)    /* of that job, see queue.h */
    U64(first)          /* its queued tasks */
    U64(wait)           /* answer only with slots, now or as they come free */
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
    U64(done)           /* tasks that succeeded there */
END(slot_back)

RECORD(slot_return)
    ARRAY(slot_back, backs)
END(slot_return)

RECORD(slot_recall)     /* the holder wants all idle slots back, at once */
    NAME(service)
END(slot_recall)

RECORD(follower)        /* an instance and the configuration in force there */
    NAME(instance)
    NAME(zone)
    U64(incarnation)
    U64(version)
    U64(age_us)         /* since the sender heard of it */
    ADDED(follower)
    U64(evacuation)     /* revision of the evacuated zones in force there */
END(follower)

RECORD(evacuated_zone)
    NAME(zone)
    NAME(publisher)     /* operator who ordered it */
    U64(time_us)        /* wall time of the order */
END(evacuated_zone)

RECORD(config_request)  /* long poll for a newer configuration */
    U64(have_version)
    U64(incarnation)
    NAME(zone)
    U64(has_text)       /* the sender has the text of have_version */
    U64(known_version)  /* a reply has one above it */
    U64(version_only)   /* the number of it is wanted, not its text */
    ARRAY(follower, members) /* others of the zone, for the status */
    ADDED(config_request)
    U64(evacuation)     /* revision known; a reply has one above it, too */
END(config_request)

RECORD(config_reply)
    U64(version)
    BLOB(config)        /* canonical text of all service files; none: only the
                         * version is told, or nothing is newer: ask again */
    U64(term)           /* of the log entry, for checks */
    U64(packed)         /* config is packed, see textpack.h */
    U64(from_version)   /* it was packed against; 0: none */
    U64(digest)         /* XXH3 of the text; 0: not told */
    NAME(zone)          /* of the sender; may be empty */
    ADDED(config_reply)
    U64(evacuation)     /* revision of the evacuated zones; 0: not known */
    ARRAY(evacuated_zone, evacuated)
END(config_reply)

RECORD(queue)           /* struct queue_conf */
    NAME(name)
    BLOB(host)
    BLOB(prefix)
    NAME(service)
    U64(priority)
    U64(attempts)
    U64(timeout_us)
    U64(target_us)
    U64(stretch_ppm)    /* millionths */
END(queue)

RECORD(queue_service)
    NAME(name)
    U64(guarded)
END(queue_service)

RECORD(queues)          /* struct queueconf, as brokers get it */
    U64(rank)
    U64(body_max)
    ARRAY(queue, queues)
    ARRAY(queue_service, services)
END(queues)

/* Between control members. */
RECORD(log_entry)
    U64(index)
    U64(term)
    U64(kind)           /* enum log_kind */
    BLOB(data)
END(log_entry)

RECORD(vote)            /* asks for a vote, or (pre) whether there would be one */
    U64(term)
    U64(pre)
    U64(last_index)
    U64(last_term)
    U64(forced)         /* the leader itself handed over */
END(vote)

RECORD(vote_reply)
    U64(term)           /* of the sender */
    U64(for_term)       /* the term asked about */
    U64(pre)
    U64(granted)
    U64(disk)           /* identity of the sender's data folder */
END(vote_reply)

RECORD(append)
    U64(term)
    U64(prev_index)
    U64(prev_term)
    U64(commit)
    U64(round)          /* of heartbeats, for reads */
    ARRAY(log_entry, entries)
END(append)

RECORD(append_reply)
    U64(term)
    U64(ok)
    U64(match)          /* ok: the log agrees and is durable up to here */
    U64(hint)           /* not ok: try from here */
    U64(round)
    U64(disk)
END(append_reply)

RECORD(snapshot)        /* one chunk */
    U64(term)
    U64(index)
    U64(index_term)
    U64(size)
    U64(offset)
    U64(round)
    BLOB(data)
END(snapshot)

RECORD(snapshot_reply)
    U64(term)
    U64(index)
    U64(offset)         /* the next one wanted; size: it is durable */
    U64(round)
    U64(disk)
END(snapshot_reply)

RECORD(read_index)      /* how far must I be, to answer a read? */
    U64(nonce)
END(read_index)

RECORD(read_reply)
    U64(nonce)
    U64(index)
END(read_reply)

RECORD(hand_over)       /* start an election at once */
    U64(term)
END(hand_over)

RECORD(followers)       /* a member tells the leader who polls it */
    ARRAY(follower, followers)
END(followers)

/* In the files of control members. */
RECORD(disk_identity)
    NAME(member)
    NAME(region)
    U64(disk)           /* random; a folder made anew has another */
END(disk_identity)

RECORD(vote_state)
    U64(term)
    NAME(vote)          /* given in that term; empty: to nobody */
END(vote_state)

RECORD(saved_state)     /* snapshot file: the state behind its position */
    U64(index)
    U64(term)
    BLOB(state)
END(saved_state)

/* In log entries and snapshots of control members. */
RECORD(control_member)
    NAME(name)
    ADDR(address)
    ADDR(http)
    U64(voter)
    U64(disk)           /* 0: a learner whose disk is not known yet */
END(control_member)

RECORD(membership)
    ARRAY(control_member, members)
END(membership)

RECORD(publish)
    U64(base_version)
    U64(rank)           /* 0: compare-and-set; else taken if above the newest */
    KEY(request_id)     /* hash of operator and request id */
    BLOB(request_text)
    NAME(publisher)
    U64(time_us)
    BLOB(summary)
    U64(prefix)         /* kept from the text of base_version */
    U64(suffix)
    BLOB(middle)
    U64(digest)         /* XXH3 of the whole text */
END(publish)

RECORD(evacuation_order)
    NAME(zone)
    U64(evacuate)       /* 0: end the evacuation */
    NAME(publisher)     /* the operator */
    U64(time_us)
END(evacuation_order)

RECORD(publication)     /* one accepted change in the history */
    U64(version)
    U64(index)
    U64(term)
    KEY(request_id)
    BLOB(request_text)
    NAME(publisher)
    U64(time_us)
    BLOB(summary)
    U64(digest)
    U64(bytes)
END(publication)

RECORD(config_text)
    U64(version)
    BLOB(text)
END(config_text)

RECORD(control_state)   /* a snapshot */
    U64(index)
    U64(term)
    ARRAY(control_member, members)
    U64(version)
    U64(rank)           /* of the newest publication that had one */
    ARRAY(publication, history)
    ARRAY(config_text, texts)
    ADDED(control_state)
    U64(evacuation)     /* revision */
    ARRAY(evacuated_zone, evacuated)
END(control_state)

RECORD(hello)           /* first on a connection, in both directions */
    NAME(sender)
    U64(incarnation)
    U64(heartbeat_us)   /* at least a frame in each such time */
END(hello)

RECORD(moved)           /* where the kept answers of a stopped instance are */
    NAME(member)
    U64(incarnation)
    NAME(successor)
    U64(successor_incarnation)
    U64(left_us)        /* as long as that is worth knowing */
END(moved)

RECORD(moves)           /* goes with a heartbeat while there is any */
    ARRAY(moved, moves)
END(moves)

RECORD(kept_answer)     /* of an ended job; starts nothing */
    KEY(key)
    U64(digest)
    U64(status)         /* enum job_status */
    U64(reason)         /* enum reason */
    U64(left_us)        /* that it is still to be kept */
    ARRAY(task_answer, tasks)
END(kept_answer)

RECORD(answer_handover) /* from an instance that stops to its successor */
    U64(incarnation)    /* of the sender */
    U64(batch)
    ARRAY(kept_answer, answers)
END(answer_handover)

RECORD(answer_taken)    /* the reply */
    U64(batch)
    U64(refused)        /* the successor is stopping itself */
END(answer_taken)

/* Between control members and processes that ask to become one. */
RECORD(join)            /* from a process that hears no leader */
    ADDR(address)
    ADDR(http)
    U64(disk)
END(join)

/* Between brokers and registries. */
RECORD(introduction)    /* first words of a broker to a registry or broker */
    NAME(zone)
    ADDR(address)       /* where other processes connect */
    U64(incarnation)
    U64(stopping)
    U64(holds)          /* upstreams, none or some */
    U64(again)          /* not the first words on this connection */
    ADDED(introduction)
    U64(evacuation_known) /* the sender knows the evacuated zones */
    U64(evacuation)     /* revision */
    ARRAY(evacuated_zone, evacuated)
END(introduction)

RECORD(instance)        /* a process, as a registry tells of it */
    NAME(name)
    NAME(zone)
    ADDR(address)
END(instance)

RECORD(roster)          /* who is there, as far as the sender knows */
    ARRAY(instance, brokers)
    ARRAY(instance, registries)
END(roster)

RECORD(label)
    NAME(text)
END(label)

RECORD(leased_upstream)
    NAME(upstream)
    U64(born_ms)        /* wall time of its start; tells its lives apart */
    U64(sequence)       /* of its announcement, rising within a life */
    NAME(service)
    NAME(zone)
    ADDR(address)
    U64(slots)
    U64(leaving)
    U64(gone)           /* it said goodbye */
    U64(cpu_milli)
    U64(memory_mb)
    U64(accelerators)
    ARRAY(label, labels)
END(leased_upstream)

RECORD(upstream_report)
    ARRAY(leased_upstream, upstreams)
END(upstream_report)

/* Between the broker that has a caller's job and the one that runs it. */
RECORD(task_group)      /* alike tasks of one step */
    U64(count)
    U64(cpu_milli)
    U64(memory_mb)
    U64(accelerators)
    U64(declared_us)    /* run time as the caller expects it */
    U64(after)          /* bit N: group N must have ended well before */
    U64(spread)         /* most of them on one upstream; 0 is no limit */
    NAME(requirement)   /* label that the upstream must have; may be empty */
    NAME(affinity)      /* label of where the data is; may be empty */
END(task_group)

RECORD(job_offer)
    U64(number)         /* chosen by the sender */
    U64(id)             /* chosen by the caller */
    NAME(queue)
    NAME(service)
    U64(priority)       /* 0 goes first */
    U64(attempts)       /* failed runs that a task may have */
    U64(stretch_milli)  /* objective: thousandths of the longest chain of work */
    U64(target_us)      /* and so much more, since it was handed in */
    U64(age_us)         /* since then */
    U64(deadline_us)    /* left until the caller leaves */
    U64(heard_us)       /* sent_us of the newest load or check of the receiver */
    BLOB(spec)
    ARRAY(task_group, groups)
END(job_offer)

RECORD(job_end)         /* the reply */
    U64(number)
    U64(outcome)        /* enum job_outcome */
    U64(reason)         /* enum broker_reason */
    U64(retry_after_us) /* of a refusal */
END(job_end)

RECORD(job_drop)        /* the caller has left */
    U64(number)
END(job_drop)

/* A runner asks a taker which of its jobs are still waited for.  Loads ask the
 * same. */
RECORD(job_check)
    U64(sent_us)        /* by the sender's clock */
END(job_check)

RECORD(job_ref)
    U64(id)             /* chosen by the caller */
END(job_ref)

RECORD(job_renewal)     /* the reply */
    U64(heard_us)       /* sent_us of the newest load or check of the receiver */
    ARRAY(job_ref, jobs) /* run by the receiver; their callers wait */
END(job_renewal)

RECORD(service_load)    /* of what the sender holds */
    NAME(service)
    U64(cpu_milli)      /* of upstreams that take work */
    U64(free_milli)
    U64(rate)           /* milli-cores that come free in a millisecond */
    U64(queued0_milli)  /* that wait, of jobs that can be in time, of priority 0 */
    U64(queued1_milli)  /* likewise, of 0 and 1 */
    U64(queued2_milli)  /* likewise, of any */
END(service_load)

RECORD(broker_load)
    U64(stopping)
    U64(lingers)        /* it runs jobs though it stops */
    U64(sent_us)        /* by the sender's clock */
    ARRAY(service_load, services)
END(broker_load)

RECORD(held_upstream)   /* who holds it, as the holder tells its zone */
    NAME(upstream)
    U64(held)           /* the sender holds it; else it does no longer */
    U64(fence)          /* the highest that it used */
END(held_upstream)

RECORD(upstream_holds)
    ARRAY(held_upstream, upstreams)
END(upstream_holds)

/* Between a runner and the witness of its job. */
RECORD(owner_claim)     /* the sender is about to run the job */
    U64(id)             /* chosen by the caller */
    U64(incarnation)    /* of the sender */
    U64(unresolved)     /* it has, or will have, starts without an answer */
    U64(deadline_us)    /* left; no submission of the job runs after it */
END(owner_claim)

RECORD(owner_reply)
    U64(id)
    U64(answer)         /* enum owner_answer */
    NAME(runner)        /* that has, or had, the job; empty if granted */
    U64(wait_us)        /* before the first start */
END(owner_reply)

RECORD(owner_state)
    U64(id)
    U64(change)         /* enum owner_change */
END(owner_state)

RECORD(owner_update)
    ARRAY(owner_state, jobs)
END(owner_update)

RECORD(job_redirect)    /* to the taker: the job is run elsewhere */
    U64(number)
    NAME(runner)
END(job_redirect)

/* From a broker: the highest fence that it has used; from a registry: the
 * highest that any broker reported. */
RECORD(fence_record)
    U64(fence)
END(fence_record)

/* From a broker to the other brokers: limits of its instance, 0 if unknown. */
RECORD(instance_capacity)
    U64(cpu_milli)
    U64(link_kbps)
    U64(memory_mb)
    U64(connections)    /* file descriptors */
END(instance_capacity)

/* From a broker to those that get its load: over the last second. */
RECORD(broker_usage)
    U64(busy_permille)  /* processor time used over the declared capacity */
    U64(delay_us)       /* mean time that an event waited to be handled */
END(broker_usage)

/* From a holder to the brokers of its zone. */
RECORD(upstream_speed)
    NAME(upstream)
    U64(born_ms)        /* the speed is that of this incarnation */
    U64(speed_permille) /* 1000 is usual, more is faster */
    U64(samples)
END(upstream_speed)

RECORD(upstream_speeds)
    ARRAY(upstream_speed, speeds)
END(upstream_speeds)

/* Longest time between two frames of the sender on this connection while it
 * is idle. */
RECORD(heartbeat_interval)
    U64(idle_us)
END(heartbeat_interval)

/* From a registry: what its list of the receiver's upstreams adds up to. */
RECORD(upstream_digest)
    U64(count)
    U64(hash)           /* of names, incarnations and sequences */
END(upstream_digest)

/* The reply of a broker that has another list. */
RECORD(upstream_request)
    U64(hash)           /* of its own list */
END(upstream_request)
/* clang-format on */
