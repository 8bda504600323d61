/** @file
 * Cost of control per host, and the time until a settings change is in force:
 * many control tasks on one loop, over loopback, with the default times.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <ev.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "bench/bench_platform.h"
#include "node/bus.h"
#include "node/control/control_task.h"

enum
{
  DCS = 3,
  FIRST_PORT = 21000,
  SETTLE_MS = 3000,
  MEASURE_MS = 6000,
  IN_FORCE_TIMEOUT_MS = 60000,
  CHANGES = 5,
  PAGE_KB = 4,
  VALUE_SIZE = 256,
};

struct fleet;

struct node
{
  struct fleet *fleet;
  struct host_settings settings;
  struct bus *bus;
  struct counters *counters;
  struct platform *platform;
  struct control_task *task;
  uint64_t version; /**< version of the changed service in force */
  size_t set_size;
};

struct fleet
{
  struct ev_loop *loop;
  struct bench_store *store;
  struct node *nodes;
  size_t count;
  size_t services;
  struct ev_timer tick; /**< ends ev_run() regularly to check the time */
};

/** Totals of the resources used, at one time. */
struct usage
{
  int64_t at_ms;
  int64_t bytes_out;
  uint64_t calls;
  int64_t cpu_us;
};

static void
tick_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
}

static void
bus_cb (void *owner, const struct bus_message *message)
{
  struct node *node = owner;
  if (message->topic == BUS_HOST_SET
      && strcmp (message->host_set.service, "service-0") == 0)
    node->set_size = message->host_set.count;
  if (message->topic == BUS_SERVICE_IN_FORCE
      && strcmp (message->service_in_force.spec->name, "service-0") == 0)
    node->version = message->service_in_force.spec->version;
}

static uint64_t
put_service (struct fleet *fleet, size_t number, size_t slots)
{
  char name[PEER_NAME_SIZE];
  char value[VALUE_SIZE];
  snprintf (name, sizeof name, "service-%zu", number);
  snprintf (value, sizeof value,
            "{\"name\":\"%s\",\"targets\":[{\"name\":\"t\","
            "\"address\":\"127.0.0.1:9\",\"dc\":\"d0\",\"slots\":%zu}]}",
            name, slots);
  return bench_store_put (fleet->store, PLATFORM_KIND_SERVICE, name, value);
}

static void
node_start (struct fleet *fleet, size_t number)
{
  struct node *node = &fleet->nodes[number];
  struct host_settings *settings = &node->settings;
  node->fleet = fleet;
  host_settings_defaults (settings);
  snprintf (settings->name, sizeof settings->name, "host-%zu", number);
  snprintf (settings->dc, sizeof settings->dc, "d%zu", number % DCS);
  snprintf (settings->peer_address, sizeof settings->peer_address,
            "127.0.0.1:%zu", FIRST_PORT + number);
  strcpy (settings->caller_address, "127.0.0.1:1");
  strcpy (settings->operator_address, "127.0.0.1:2");
  node->bus = bus_create (fleet->loop);
  node->counters = counters_create ();
  node->platform = bench_platform_create (fleet->store);
  bus_subscribe (node->bus, BUS_SERVICE_IN_FORCE, bus_cb, node);
  bus_subscribe (node->bus, BUS_HOST_SET, bus_cb, node);
  const struct control_task_options options = { .loop = fleet->loop,
                                                .bus = node->bus,
                                                .settings = settings,
                                                .platform = node->platform,
                                                .counters = node->counters };
  if (control_task_create (&options, &node->task) != STATUS_OK)
    {
      fprintf (stderr, "control_bench: %s\n", status_message ());
      exit (1);
    }
}

static void
node_stop (struct node *node)
{
  control_task_destroy (node->task);
  platform_destroy (node->platform);
  bus_destroy (node->bus);
  counters_destroy (node->counters);
}

static bool
all_in_force (const struct fleet *fleet, uint64_t version)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].version < version)
      return false;
  return true;
}

static void
run_for (struct fleet *fleet, int64_t time_ms)
{
  const int64_t end_ms = clock_now_ms () + time_ms;
  while (clock_now_ms () < end_ms)
    ev_run (fleet->loop, EVRUN_ONCE);
}

/* Returns the milliseconds until VERSION is in force on all nodes. */
static double
run_until_in_force (struct fleet *fleet, uint64_t version)
{
  const int64_t start_us = clock_now_us ();
  while (!all_in_force (fleet, version))
    {
      ev_run (fleet->loop, EVRUN_ONCE);
      if (clock_now_us () - start_us > IN_FORCE_TIMEOUT_MS * 1000)
        {
          fprintf (stderr,
                   "control_bench: timed out waiting until version %" PRIu64
                   " is in force on all hosts\n",
                   version);
          exit (1);
        }
    }
  return (double)(clock_now_us () - start_us) / 1000.0;
}

static int64_t
bytes_out (const struct node *node)
{
  const struct counter_family_options options
      = { .name = "jaystair_peer_bytes_total",
          .help = "Bytes on links between hosts",
          .kind = COUNTER_SUM,
          .label_names = { "direction" } };
  const char *label = "out";
  return counter_series (counters_family (node->counters, &options), &label)
      ->value;
}

static struct usage
read_usage (const struct fleet *fleet)
{
  struct rusage cpu;
  getrusage (RUSAGE_SELF, &cpu);
  struct usage usage = { .at_ms = clock_now_ms () };
  usage.cpu_us = (cpu.ru_utime.tv_sec + cpu.ru_stime.tv_sec) * 1000000L
                 + cpu.ru_utime.tv_usec + cpu.ru_stime.tv_usec;
  for (size_t i = 0; i < fleet->count; i++)
    {
      usage.bytes_out += bytes_out (&fleet->nodes[i]);
      usage.calls += fleet->nodes[i].platform->calls;
    }
  return usage;
}

static long
resident_kb (void)
{
  long pages = 0;
  long resident = 0;
  FILE *file = fopen ("/proc/self/statm", "re");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld %ld", &pages, &resident) != 2)
    resident = 0;
  fclose (file);
  return resident * PAGE_KB;
}

static void
print_figure (const struct fleet *fleet, const char *name, double value,
              const char *unit)
{
  printf ("figure %s_%zu_hosts_%zu_services %.2f %s\n", name, fleet->count,
          fleet->services, value, unit);
  fflush (stdout);
}

static void
measure_steady (struct fleet *fleet)
{
  const struct usage before = read_usage (fleet);
  run_for (fleet, MEASURE_MS);
  const struct usage after = read_usage (fleet);
  const double seconds = (double)(after.at_ms - before.at_ms) / 1000.0;
  const double host_seconds = seconds * (double)fleet->count;
  print_figure (fleet, "control_bytes_per_s_per_host",
                (double)(after.bytes_out - before.bytes_out) / host_seconds,
                "B/s");
  print_figure (fleet, "platform_calls_per_s",
                (double)(after.calls - before.calls) / seconds, "1/s");
  print_figure (fleet, "control_cpu_us_per_s_per_host",
                (double)(after.cpu_us - before.cpu_us) / host_seconds, "us/s");
}

static void
measure_changes (struct fleet *fleet)
{
  double worst_ms = 0;
  const struct usage before = read_usage (fleet);
  for (size_t i = 0; i < CHANGES; i++)
    {
      const double elapsed_ms
          = run_until_in_force (fleet, put_service (fleet, 0, 2 + i));
      if (elapsed_ms > worst_ms)
        worst_ms = elapsed_ms;
    }
  print_figure (fleet, "settings_in_force_ms_worst", worst_ms, "ms");
  run_for (fleet, SETTLE_MS);
  const struct usage after = read_usage (fleet);
  print_figure (fleet, "platform_calls_per_change",
                (double)(after.calls - before.calls) / CHANGES, "calls");
}

static void
run (size_t hosts, size_t services)
{
  struct fleet fleet = { .loop = ev_loop_new (EVFLAG_AUTO),
                         .count = hosts,
                         .services = services };
  fleet.nodes = xcalloc (hosts, sizeof *fleet.nodes);
  fleet.store = bench_store_create (fleet.loop);
  ev_timer_init (&fleet.tick, tick_cb, 0, 0.01);
  ev_timer_start (fleet.loop, &fleet.tick);
  uint64_t version = 0;
  for (size_t i = services; i > 0; i--)
    version = put_service (&fleet, i - 1, 1);
  const long before_kb = resident_kb ();
  for (size_t i = 0; i < hosts; i++)
    node_start (&fleet, i);
  const double start_ms = run_until_in_force (&fleet, version);
  print_figure (&fleet, "control_start_ms", start_ms, "ms");
  run_for (&fleet, SETTLE_MS);
  print_figure (&fleet, "control_rss_kb",
                (double)(resident_kb () - before_kb) / (double)hosts, "kB");
  measure_steady (&fleet);
  measure_changes (&fleet);
  for (size_t i = 0; i < hosts; i++)
    node_stop (&fleet.nodes[i]);
  bench_store_destroy (fleet.store);
  free (fleet.nodes);
  ev_timer_stop (fleet.loop, &fleet.tick);
  ev_loop_destroy (fleet.loop);
}

int
main (void)
{
  const struct log_options quiet = { .level = LOG_LEVEL_ERROR };
  log_configure (&quiet);
  run (6, 10);
  run (12, 10);
  run (24, 10);
  run (36, 10);
  run (36, 100);
  run (36, 1000);
  return 0;
}
