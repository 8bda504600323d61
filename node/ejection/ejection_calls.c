#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <stdlib.h>

#include "base/log.h"

static enum floor_reply_status
reply_status (enum status status)
{
  switch (status)
    {
    case STATUS_OK:
      return FLOOR_REPLY_OK;
    case STATUS_NOT_FOUND:
      return FLOOR_REPLY_NOT_FOUND;
    case STATUS_REFUSED:
      return FLOOR_REPLY_CONFLICT;
    case STATUS_UNREACHABLE:
      return FLOOR_REPLY_UNREACHABLE;
    default:
      return FLOOR_REPLY_UNKNOWN;
    }
}

static void
complete_call (struct ejection_service *service,
               const struct floor_reply *reply)
{
  service->why = "record";
  floor_owner_handle_reply (service->owner, ejection_now_ms (service->task),
                            reply);
  ejection_owner_update (service);
}

static void
log_failure (const struct ejection_service *service, const char *call,
             const struct platform_reply *reply)
{
  if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    return;
  LOG_WARN ("record-call-failed", LOG_STR ("service", service->name),
            LOG_STR ("call", call),
            LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
}

/* A record that can't be parsed is treated like a lost answer. */
static void
on_read (void *owner, const struct platform_reply *reply)
{
  struct ejection_service *service = owner;
  struct floor_record record = { .epoch = 0 };
  struct floor_reply result = { .status = reply_status (reply->status) };
  log_failure (service, "read", reply);
  if (reply->status == STATUS_OK
      && (reply->count != 1 || reply->objects[0].value == NULL))
    result.status = FLOOR_REPLY_NOT_FOUND;
  else if (reply->status == STATUS_OK)
    {
      result.version = reply->objects[0].version;
      result.record = &record;
      if (floor_record_parse (reply->objects[0].value, &record) != STATUS_OK)
        {
          LOG_ERR ("record-unreadable", LOG_STR ("service", service->name),
                   LOG_STR ("why", status_message ()));
          result.status = FLOOR_REPLY_UNKNOWN;
        }
    }
  complete_call (service, &result);
  floor_record_clear (&record);
}

static void
on_written (void *owner, const struct platform_reply *reply)
{
  struct ejection_service *service = owner;
  struct floor_reply result = { .status = reply_status (reply->status) };
  log_failure (service, "write", reply);
  if (reply->status == STATUS_OK && reply->count == 1)
    result.version = reply->objects[0].version;
  else if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    result.status = FLOOR_REPLY_UNKNOWN;
  complete_call (service, &result);
}

static void
write_record (struct ejection_service *service,
              const struct floor_request *request)
{
  char *text = floor_record_format (request->record);
  LOG_INFO ("record-write", LOG_STR ("service", service->name),
            LOG_INT ("epoch", request->record->epoch),
            LOG_INT ("claims", request->record->claim_count),
            LOG_INT ("reserve", request->record->reserve),
            LOG_INT ("old_reserve", request->record->old_reserve),
            LOG_INT ("over_version", request->expected_version));
  platform_put (service->task->options.platform, PLATFORM_KIND_EJECTION,
                service->name, request->expected_version, text, on_written,
                service);
  free (text);
}

void
ejection_calls_start_next (struct ejection_service *service)
{
  const struct floor_request request = floor_owner_next_request (
      service->owner, ejection_now_ms (service->task));
  if (request.call == FLOOR_CALL_NONE)
    return;
  counter_add (service->task->counters.platform_calls, 1);
  if (request.call == FLOOR_CALL_WRITE)
    write_record (service, &request);
  else
    platform_get (service->task->options.platform, PLATFORM_KIND_EJECTION,
                  service->name, on_read, service);
}
