#include "node/host_settings.h"

#include <stdio.h>
#include <string.h>

#include "base/options.h"
#include "node/host_resources.h"
#include "policy/poison/poison_table.h"

enum
{
  HOUR_MS = 3600 * 1000,
  DAY_MS = 24 * HOUR_MS,
  KIBIBYTE = 1024,
  /* Some callers cache a response three times as long as allowed, and the rest
     of the shutdown time is for the requests that they sent last. */
  SHUTDOWN_TO_KEEP_ANSWER_RATIO = 6,
  MS_PER_SECOND = 1000,
  /* For a request to arrive that is sent at the end of the time. */
  KEEP_ALIVE_MARGIN_MS = 500,
};

static const char *const service_sources[] = { "objects", "registry" };

void
host_settings_defaults (struct host_settings *settings)
{
  *settings = (struct host_settings){
    .set_hosts_per_dc = 2,
    .relays_per_dc = 3,
    .modes = { .has_ejection = true },
    .poison
    = { .crashes = 3, .block_ms = 60 * 1000, .block_max_ms = HOUR_MS },
    .retry = { .percent = 10, .window_ms = 10000, .reserve = 30 },
    .access = { .quota_window_ms = 5000, .quota_overshoot_percent = 10,
                .quota_slack = 20 },
    .limits = {
      .connections = 1000,
      .header_bytes = 8 * KIBIBYTE,
      .idle_timeout_ms = 30000,
      .stream_buffer_bytes = 64 * KIBIBYTE,
      .target_connect_ms = 1000,
      .reuse_idle_ms = 60000,
      .keep_answer_ms = 5000,
    },
    .times = {
      .heartbeat_ms = 500,
      .suspect_after_ms = 1500,
      .dead_after_ms = 5000,
      .forget_after_ms = 10 * 60 * 1000,
      .enforce_ms = 3000,
      .owner_lease_ms = 5000,
      .watch_ms = 20000,
      .relay_watch_ms = 1000,
      .config_apply_ms = 2000,
      .platform_timeout_ms = 2000,
      .target_heartbeat_ms = 1500,
      .evidence_ms = 250,
      .shutdown_ms = 30000,
      .stale_after_ms = 60000,
      .outage_hold_ms = 6 * HOUR_MS,
    },
    .log_level = LOG_LEVEL_INFO,
    .log_repeats_per_second = 50,
    .log_warnings_per_second = 200,
  };
}

static void
read_ms (struct options *options, const char *key, int64_t min, int64_t max,
         uint32_t *value)
{
  int64_t number = *value;
  options_duration (options, key, min, max, &number);
  *value = (uint32_t)number;
}

static void
read_retry (struct options *top, struct retry_settings *retry)
{
  struct options options;
  double share = retry->percent / 100.0;
  if (!options_object (top, "retry", false, &options))
    return;
  options_double (&options, "share", 0, 1, &share);
  retry->percent = (uint32_t)(share * 100 + 0.5);
  read_ms (&options, "window_ms", 100, HOUR_MS, &retry->window_ms);
  options_uint32 (&options, "reserve", 0, 1000000, &retry->reserve);
  double used = retry->used_percent / 100.0;
  options_double (&options, "used_targets", 0, 1, &used);
  retry->used_percent = (uint32_t)(used * 100 + 0.5);
  options_end_child (top, &options);
}

static void
read_admission (struct options *top, struct admission_settings *admission)
{
  struct options options;
  if (!options_object (top, "admission", false, &options))
    return;
  options_bool (&options, "by_route_priority", &admission->by_route_priority);
  options_bool (&options, "by_workspace", &admission->by_workspace);
  options_end_child (top, &options);
}

static void
read_placement (struct options *top, struct placement_settings *placement)
{
  struct options options;
  if (!options_object (top, "placement", false, &options))
    return;
  options_bool (&options, "by_cost", &placement->by_cost);
  options_bool (&options, "working_set", &placement->working_set);
  options_end_child (top, &options);
}

static void
read_limits (struct options *top, const struct host_resources *resources,
             struct caller_limits *limits)
{
  struct options options;
  limits->connections
      = host_resources_max_connections (resources, limits->connections);
  if (!options_object (top, "limits", false, &options))
    return;
  options_uint32 (&options, "connections", 1, 1000000, &limits->connections);
  options_uint32 (&options, "header_bytes", 4 * KIBIBYTE, 1024 * KIBIBYTE,
                  &limits->header_bytes);
  read_ms (&options, "idle_timeout_ms", 1000, HOUR_MS,
           &limits->idle_timeout_ms);
  options_uint32 (&options, "stream_buffer_bytes", 4 * KIBIBYTE,
                  16 * 1024 * KIBIBYTE, &limits->stream_buffer_bytes);
  read_ms (&options, "target_connect_ms", 10, HOUR_MS,
           &limits->target_connect_ms);
  read_ms (&options, "reuse_idle_ms", 0, HOUR_MS, &limits->reuse_idle_ms);
  read_ms (&options, "reuse_idle_once_ms", 0, HOUR_MS,
           &limits->reuse_idle_once_ms);
  options_uint32 (&options, "hold_answer_bytes", 0, 16 * 1024 * KIBIBYTE,
                  &limits->hold_answer_bytes);
  if (limits->hold_answer_bytes > limits->stream_buffer_bytes)
    options_fail (&options, "hold_answer_bytes",
                  "expected at most stream_buffer_bytes (%u), found %u; a "
                  "response is held in that buffer",
                  limits->stream_buffer_bytes, limits->hold_answer_bytes);
  read_ms (&options, "keep_answer_ms", 100, HOUR_MS, &limits->keep_answer_ms);
  options_end_child (top, &options);
}

static void
read_access (struct options *top, struct access_settings *access)
{
  struct options options;
  if (!options_object (top, "access", false, &options))
    return;
  read_ms (&options, "revoke_ms", 0, HOUR_MS, &access->revoke_ms);
  read_ms (&options, "quota_window_ms", 100, HOUR_MS,
           &access->quota_window_ms);
  double overshoot = access->quota_overshoot_percent / 100.0;
  options_double (&options, "quota_overshoot", 0, 1, &overshoot);
  access->quota_overshoot_percent = (uint32_t)(overshoot * 100 + 0.5);
  options_uint32 (&options, "quota_slack", 0, 1000000, &access->quota_slack);
  options_end_child (top, &options);
}

static void
read_poison (struct options *top, struct poison_settings *poison)
{
  struct options options;
  if (!options_object (top, "poison", false, &options))
    return;
  options_uint32 (&options, "crashes", 1, POISON_CRASHES_MAX,
                  &poison->crashes);
  read_ms (&options, "block_ms", 1000, DAY_MS, &poison->block_ms);
  read_ms (&options, "block_max_ms", 1000, DAY_MS, &poison->block_max_ms);
  if (poison->block_max_ms < poison->block_ms)
    options_fail (&options, "block_max_ms",
                  "expected at least block_ms (%u), found %u; raise it",
                  poison->block_ms, poison->block_max_ms);
  options_end_child (top, &options);
}

/* Contradictory times would silently break guarantees later, so they are
   refused here. */
static void
check_times (struct options *options, const struct control_times *times)
{
  if (times->suspect_after_ms < 2 * times->heartbeat_ms)
    options_fail (options, "suspect_after_ms",
                  "expected at least two heartbeats (%u ms), found %u; one "
                  "lost heartbeat must not make a host suspect",
                  2 * times->heartbeat_ms, times->suspect_after_ms);
  if (times->dead_after_ms <= times->suspect_after_ms)
    options_fail (options, "dead_after_ms",
                  "expected more than suspect_after_ms (%u), found %u; raise "
                  "it",
                  times->suspect_after_ms, times->dead_after_ms);
  if (times->forget_after_ms <= times->dead_after_ms)
    options_fail (options, "forget_after_ms",
                  "expected more than dead_after_ms (%u), found %u; a host "
                  "must not lose its record before it is dead",
                  times->dead_after_ms, times->forget_after_ms);
  if (times->enforce_ms < 3 * times->evidence_ms)
    options_fail (options, "enforce_ms",
                  "expected at least three evidence_ms (%u ms), found %u; "
                  "one lost refresh must not end an ejection",
                  3 * times->evidence_ms, times->enforce_ms);
  if (times->owner_lease_ms <= times->enforce_ms)
    options_fail (options, "owner_lease_ms",
                  "expected more than enforce_ms (%u), found %u; a new owner "
                  "must find the old one's ejections expired",
                  times->enforce_ms, times->owner_lease_ms);
}

static void
read_times (struct options *top, struct control_times *times)
{
  struct options options;
  if (!options_object (top, "times", false, &options))
    return;
  const struct
  {
    const char *key;
    uint32_t *value;
  } members[] = {
    { "heartbeat_ms", &times->heartbeat_ms },
    { "suspect_after_ms", &times->suspect_after_ms },
    { "dead_after_ms", &times->dead_after_ms },
    { "forget_after_ms", &times->forget_after_ms },
    { "enforce_ms", &times->enforce_ms },
    { "owner_lease_ms", &times->owner_lease_ms },
    { "watch_ms", &times->watch_ms },
    { "relay_watch_ms", &times->relay_watch_ms },
    { "config_apply_ms", &times->config_apply_ms },
    { "platform_timeout_ms", &times->platform_timeout_ms },
    { "target_heartbeat_ms", &times->target_heartbeat_ms },
    { "evidence_ms", &times->evidence_ms },
    { "shutdown_ms", &times->shutdown_ms },
    { "stale_after_ms", &times->stale_after_ms },
  };
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    read_ms (&options, members[i].key, 10, HOUR_MS, members[i].value);
  read_ms (&options, "outage_hold_ms", 1000, DAY_MS, &times->outage_hold_ms);
  check_times (&options, times);
  options_end_child (top, &options);
}

static void
read_log (struct options *top, struct host_settings *settings)
{
  static const char *const levels[] = { "error", "warning", "info", "debug" };
  struct options options;
  if (!options_object (top, "log", false, &options))
    return;
  int level = (int)settings->log_level;
  options_enum (&options, "level", levels, 4, &level);
  settings->log_level = (enum log_level)level;
  options_bool (&options, "json", &settings->log_json);
  options_uint32 (&options, "repeats_per_second", 0, 1000000,
                  &settings->log_repeats_per_second);
  options_uint32 (&options, "warnings_per_second", 0, 1000000,
                  &settings->log_warnings_per_second);
  options_end_child (top, &options);
}

/* Read the array KEY of addresses into ROWS, at most MAX. */
static size_t
read_addresses (struct options *options, const char *key,
                char (*rows)[HOST_ADDRESS_SIZE], size_t max)
{
  struct json_object *array = options_array (options, key, max);
  if (array == NULL)
    return 0;
  const size_t count = json_object_array_length (array);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      struct json_object *wrapper = json_object_new_object ();
      json_object_object_add (wrapper, "address", json_object_get (item));
      char path[96];
      snprintf (path, sizeof path, "%s%s%s[%zu]", options->path,
                options->path[0] == '\0' ? "" : ".", key, i);
      struct options element;
      options_begin (&element, options->file, path, wrapper);
      options_address (&element, "address", true, rows[i], HOST_ADDRESS_SIZE);
      options_end_child (options, &element);
      json_object_put (wrapper);
    }
  return count;
}

static void
read_platform (struct options *top, struct host_settings *settings)
{
  struct options options;
  if (!options_object (top, "platform", true, &options))
    return;
  settings->platform_address_count
      = read_addresses (&options, "addresses", settings->platform_addresses,
                        HOST_PLATFORM_ADDRESSES_MAX);
  options_string (&options, "file", false, settings->platform_file,
                  sizeof settings->platform_file);
  const bool has_file = settings->platform_file[0] != '\0';
  if ((settings->platform_address_count > 0) == has_file)
    options_fail (&options, "addresses",
                  "expected either addresses of the platform or a file, "
                  "found %s; give exactly one",
                  has_file ? "both" : "neither");
  options_string (&options, "interface", false, settings->interface,
                  sizeof settings->interface);
  options_string (&options, "terms", false, settings->platform_terms,
                  sizeof settings->platform_terms);
  options_end_child (top, &options);
}

static void
read_listen_addresses (struct options *top, struct host_settings *settings)
{
  struct options options;
  if (!options_object (top, "addresses", true, &options))
    return;
  options_address (&options, "caller", true, settings->caller_address,
                   sizeof settings->caller_address);
  options_address (&options, "peer", true, settings->peer_address,
                   sizeof settings->peer_address);
  options_address (&options, "operator", true, settings->operator_address,
                   sizeof settings->operator_address);
  options_address (&options, "directory", false, settings->directory_address,
                   sizeof settings->directory_address);
  options_address (&options, "readiness", false, settings->readiness_address,
                   sizeof settings->readiness_address);
  options_end_child (top, &options);
}

/* A wildcard address can't be connected to.  A host that announced it would
   look dead to all other hosts, and callers sent to it would fail to
   connect. */
static void
check_reachable (struct options *top, const char *key, const char *bound,
                 const char *advertised)
{
  const bool any = strncmp (bound, "0.0.0.0:", 8) == 0
                   || strncmp (bound, "[::]:", 5) == 0;
  if (any && advertised[0] == '\0')
    options_fail (top, "advertise",
                  "expected \"%s\", since \"%s\" isn't an address to connect "
                  "to; add the one that others reach",
                  key, bound);
}

static void
read_advertised (struct options *top, struct host_settings *settings)
{
  const struct
  {
    const char *key;
    const char *bound;
    char *advertised;
  } members[] = {
    { "caller", settings->caller_address, settings->caller_advertised },
    { "peer", settings->peer_address, settings->peer_advertised },
    { "operator", settings->operator_address, settings->operator_advertised },
  };
  const size_t count = sizeof members / sizeof members[0];
  struct options options;
  if (options_object (top, "advertise", false, &options))
    {
      for (size_t i = 0; i < count; i++)
        options_address (&options, members[i].key, false,
                         members[i].advertised, HOST_ADDRESS_SIZE);
      options_end_child (top, &options);
    }
  for (size_t i = 0; i < count; i++)
    check_reachable (top, members[i].key, members[i].bound,
                     members[i].advertised);
}

uint32_t
host_settings_keep_answer_ms (const struct host_settings *settings)
{
  const uint32_t max_ms
      = settings->times.shutdown_ms / SHUTDOWN_TO_KEEP_ANSWER_RATIO;
  const uint32_t requested_ms = settings->limits.keep_answer_ms;
  return requested_ms < max_ms ? requested_ms : max_ms;
}

uint32_t
host_settings_leave_min_ms (const struct host_settings *settings)
{
  return host_settings_keep_answer_ms (settings)
         + settings->times.suspect_after_ms;
}

uint32_t
host_settings_keep_alive_s (const struct host_settings *settings)
{
  const uint32_t bounds_ms[]
      = { host_settings_leave_min_ms (settings),
          settings->times.shutdown_ms / 2, settings->limits.idle_timeout_ms };
  uint32_t max_ms = bounds_ms[0];
  for (size_t i = 1; i < sizeof bounds_ms / sizeof bounds_ms[0]; i++)
    if (bounds_ms[i] < max_ms)
      max_ms = bounds_ms[i];
  return max_ms > KEEP_ALIVE_MARGIN_MS
             ? (max_ms - KEEP_ALIVE_MARGIN_MS) / MS_PER_SECOND
             : 0;
}

uint32_t
host_settings_reuse_max_ms (const struct host_settings *settings)
{
  return host_settings_keep_alive_s (settings) * MS_PER_SECOND
         + KEEP_ALIVE_MARGIN_MS;
}

const char *
host_settings_advertised_address (const char *advertised, const char *bound)
{
  return advertised[0] != '\0' ? advertised : bound;
}

static void
read_modes (struct options *top, struct fleet_modes *modes)
{
  int source = modes->has_registry;
  options_enum (top, "services", service_sources, 2, &source);
  modes->has_registry = source != 0;
  options_bool (top, "all_watch_registry", &modes->all_watch_registry);
  options_bool (top, "ejection", &modes->has_ejection);
  options_bool (top, "prefer_own_dc", &modes->prefers_own_dc);
}

static enum status
read_host (const char *path, struct json_object *root,
           struct host_settings *settings)
{
  struct options top;
  options_begin (&top, path, "", root);
  options_string (&top, "name", true, settings->name, sizeof settings->name);
  options_string (&top, "dc", true, settings->dc, sizeof settings->dc);
  read_listen_addresses (&top, settings);
  read_advertised (&top, settings);
  read_platform (&top, settings);
  settings->peer_seed_count = read_addresses (
      &top, "peers", settings->peer_seeds, HOST_PEER_SEEDS_MAX);
  options_string (&top, "secret_file", false, settings->secret_file,
                  sizeof settings->secret_file);
  host_resources_read (&top, &settings->resources);
  options_uint32 (&top, "set_hosts_per_dc", 1, 64,
                  &settings->set_hosts_per_dc);
  options_uint32 (&top, "relays_per_dc", 1, 16, &settings->relays_per_dc);
  read_modes (&top, &settings->modes);
  read_retry (&top, &settings->retry);
  read_admission (&top, &settings->admission);
  read_placement (&top, &settings->placement);
  read_poison (&top, &settings->poison);
  read_access (&top, &settings->access);
  read_limits (&top, &settings->resources, &settings->limits);
  read_times (&top, &settings->times);
  read_log (&top, settings);
  return options_end (&top);
}

enum status
host_settings_load (const char *path, struct host_settings *settings)
{
  host_settings_defaults (settings);
  struct json_object *root;
  const enum status status = options_parse_file (path, &root);
  if (status != STATUS_OK)
    return status;
  const enum status load_status = read_host (path, root, settings);
  json_object_put (root);
  return load_status;
}
