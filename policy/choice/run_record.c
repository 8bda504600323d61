#include "policy/choice/run_record.h"

enum
{
  STATUS_REQUEST_TIMEOUT = 408,
  STATUS_MISDIRECTED_REQUEST = 421,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_BAD_GATEWAY = 502,
  STATUS_SERVICE_UNAVAILABLE = 503
};

void
run_record_begin (struct run_record *record)
{
  record->earlier_may_have_run = run_record_may_have_run (record);
  record->last_may_have_run = true;
}

void
run_record_end (struct run_record *record, enum run_proof proof)
{
  if (proof != RUN_PROOF_NONE)
    record->last_may_have_run = false;
}

void
run_record_note_host (struct run_record *record)
{
  record->reported_by_host = true;
}

bool
run_record_may_have_run (const struct run_record *record)
{
  return record->last_may_have_run || run_record_may_have_run_before (record)
         || record->reported_by_host;
}

bool
run_record_may_have_run_before (const struct run_record *record)
{
  return record->earlier_may_have_run;
}

bool
run_status_is_promise (uint32_t status)
{
  return status == STATUS_REQUEST_TIMEOUT
         || status == STATUS_MISDIRECTED_REQUEST
         || status == STATUS_TOO_MANY_REQUESTS
         || status == STATUS_SERVICE_UNAVAILABLE;
}

uint32_t
run_record_status (const struct run_record *record, uint32_t status)
{
  return run_status_is_promise (status) && run_record_may_have_run (record)
             ? STATUS_BAD_GATEWAY
             : status;
}
