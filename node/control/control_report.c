#include "node/control/control_internal.h"

#include "base/clock.h"
#include "node/json_row.h"
#include "node/tables.h"

static const char *
state_name (const struct control_task *task, const struct control_host *host)
{
  if (host == task->self && task->is_stale)
    return "stale";
  return member_state_name (membership_state (task->membership, host->key));
}

static struct json_object *
hosts_rows (void *owner)
{
  const struct control_task *task = owner;
  struct json_object *rows = json_object_new_array ();
  const struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    {
      struct json_object *row = json_object_new_object ();
      json_row_text (row, "host", host->record.name);
      json_row_text (row, "dc", host->record.dc);
      json_row_text (row, "state", state_name (task, host));
      json_row_flag (row, "handed_out",
                     control_host_is_live (task, host->record.name));
      json_row_flag (row, "relay", control_hosts_is_relay (task, host->key));
      json_row_flag (row, "listed", host->is_listed);
      json_row_text (row, "caller_address", host->record.caller_address);
      json_row_text (row, "operator_address", host->record.operator_address);
      json_row_number (row, "incarnation", (int64_t)host->record.incarnation);
      json_object_array_add (rows, row);
    }
  return rows;
}

int64_t
control_contact_age_ms (const struct control_task *task)
{
  return clock_now_ms () - task->last_contact_ms;
}

struct json_object *
control_unresponsive_hosts (const struct control_task *task)
{
  struct json_object *names = json_object_new_array ();
  const struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    {
      const enum member_state state
          = membership_state (task->membership, host->key);
      if (host != task->self && state != MEMBER_LIVE
          && state != MEMBER_LEAVING)
        json_object_array_add (names,
                               json_object_new_string (host->record.name));
    }
  return names;
}

static struct json_object *
settings_rows (void *owner)
{
  const struct control_task *task = owner;
  struct json_object *rows = json_object_new_array ();
  const struct control_object *object;
  for (object = task->objects; object != NULL; object = object->hh.next)
    {
      if (strcmp (object->kind, PLATFORM_KIND_SERVICE) != 0)
        continue;
      const struct control_service *service;
      HASH_FIND_STR (task->services, object->name, service);
      struct json_object *row = json_object_new_object ();
      json_row_text (row, "service", object->name);
      json_row_number (row, "version", (int64_t)object->version);
      json_row_number (row, "in_force",
                       service == NULL ? 0 : (int64_t)service->version);
      json_row_flag (row, "removed", object->value == NULL);
      json_row_flag (
          row, "refused",
          object->value != NULL
              && (service == NULL || service->version != object->version));
      json_object_array_add (rows, row);
    }
  return rows;
}

void
control_report_register (struct control_task *task)
{
  if (task->options.tables == NULL)
    return;
  tables_register (task->options.tables, "hosts", hosts_rows, task);
  tables_register (task->options.tables, "settings", settings_rows, task);
}

static void
set_value (struct control_task *task, const char *name, const char *help,
           enum counter_kind kind, const char *label_name, const char *label,
           int64_t value)
{
  const struct counter_family_options options = {
    .name = name, .help = help, .kind = kind, .label_names = { label_name }
  };
  struct counter_family *family
      = counters_family (task->options.counters, &options);
  counter_set (counter_series (family, &label), value);
}

static void
count_hosts (struct control_task *task)
{
  int64_t counts[MEMBER_LEAVING + 1] = { 0 };
  const struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    counts[membership_state (task->membership, host->key)]++;
  for (int state = MEMBER_LIVE; state <= MEMBER_LEAVING; state++)
    set_value (task, "jaystair_hosts", "Hosts by state as believed here",
               COUNTER_GAUGE, "state",
               member_state_name ((enum member_state)state), counts[state]);
}

void
control_report_count (struct control_task *task)
{
  if (task->options.counters == NULL)
    return;
  const struct peer_traffic *traffic = &task->identity.traffic;
  static const char bytes[] = "jaystair_peer_bytes_total";
  static const char bytes_help[] = "Bytes on links between hosts";
  static const char frames[] = "jaystair_peer_frames_total";
  static const char frames_help[] = "Messages on links between hosts";
  set_value (task, bytes, bytes_help, COUNTER_SUM, "direction", "in",
             traffic->bytes_in);
  set_value (task, bytes, bytes_help, COUNTER_SUM, "direction", "out",
             traffic->bytes_out);
  set_value (task, frames, frames_help, COUNTER_SUM, "direction", "in",
             traffic->frames_in);
  set_value (task, frames, frames_help, COUNTER_SUM, "direction", "out",
             traffic->frames_out);
  set_value (task, "jaystair_peer_refused_total",
             "Connections closed for what they sent", COUNTER_SUM, NULL, NULL,
             traffic->refused);
  set_value (task, "jaystair_platform_calls_total", "Calls to the platform",
             COUNTER_SUM, NULL, NULL, (int64_t)task->options.platform->calls);
  set_value (task, "jaystair_platform_skipped_total",
             "Objects of lists and watches that couldn't be read", COUNTER_SUM,
             NULL, NULL, (int64_t)task->options.platform->skipped);
  set_value (task, "jaystair_stale",
             "1: neither platform nor relay was heard for stale_after_ms",
             COUNTER_GAUGE, NULL, NULL, task->is_stale);
  set_value (task, "jaystair_relay", "1: this host watches the platform",
             COUNTER_GAUGE, NULL, NULL, task->is_relay);
  count_hosts (task);
}
