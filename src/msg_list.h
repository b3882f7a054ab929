/*
 * The messages between processes: MSG(KIND, record).  The order is the number
 * on the wire; append only.  Define MSG before including this list.
 */
/* clang-format off */
MSG(HEARTBEAT, heartbeat)
MSG(CLAIM, claim)
MSG(CLAIM_REPLY, claim_reply)
MSG(CLAIM_RELEASE, claim_release)
MSG(CLAIM_FIND, claim_find)
MSG(SYNC_REQUEST, sync_request)
MSG(SYNC_REPLY, sync_reply)
MSG(JOB_WAIT, job_wait)
MSG(JOB_ANSWER, job_answer)
MSG(UPSTREAM_NEWS, upstream_news)
MSG(SLOT_REQUEST, slot_request)
MSG(SLOT_GRANT, slot_grant)
MSG(SLOT_RETURN, slot_return)
MSG(SLOT_RECALL, slot_recall)
MSG(CONFIG_REQUEST, config_request)
MSG(CONFIG_REPLY, config_reply)
MSG(HELLO, hello)
/* clang-format on */
