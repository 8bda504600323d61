/** @file
 * Overhead of a host: the same requests go directly to a target and through
 * a jaystaird to it, in alternating blocks of one run.
 *
 * Paced: 500 requests/s on persistent connections, in blocks of one second per
 * route.  Closed loop: as many requests as 16 callers can send, to compare
 * rates.  Memory is read after that load, and again with many idle
 * connections.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <ev.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "bench/bench_process.h"
#include "wire/curl_loop.h"

enum
{
  URL_SIZE = 128,
  PATH_SIZE = 256,
  REQUESTS_PER_SECOND = 500,
  BLOCKS = 12, /* of one second, per route */
  CLOSED_CALLERS = 16,
  CLOSED_BLOCKS = 4,
  SAMPLES_MAX = REQUESTS_PER_SECOND * (BLOCKS + 1),
  START_TRIES = 500,
  PERMILLE_MEDIAN = 500,
  PERMILLE_HIGH = 990,
  IDLE_CONNECTIONS = 900,
  RESPONSE_SIZE = 4096,
  US_PER_SECOND = 1000000
};

/* A route to the target and its results. */
struct route
{
  char url[URL_SIZE];
  int64_t *latencies_us;
  size_t count;
  size_t failed;
  uint64_t closed_done;
  int64_t closed_us;
};

struct bench
{
  struct ev_loop *loop;
  struct curl_loop *curl;
  struct route direct;
  struct route proxied;
  struct route *current_route;
  bool recording;
  bool closed; /* closed loop: each end starts the next request */
  uint32_t running;
  uint32_t remaining; /* requests of a paced block */
  ev_timer pace;
  pid_t target;
  pid_t host;
  uint16_t host_port;
  char folder[PATH_SIZE];
};

struct request_state
{
  struct bench *bench;
  struct route *route;
  int64_t started_us;
};

static void send_request (struct bench *bench, struct route *route);

static size_t
drop_body (char *data, size_t size, size_t count, void *owner)
{
  return size * count;
}

static void
on_request_done (void *owner, CURLcode code, CURL *easy)
{
  struct request_state *request_state = owner;
  struct bench *bench = request_state->bench;
  struct route *route = request_state->route;
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  bench->running--;
  if (code != CURLE_OK || status != 200)
    route->failed++;
  else if (bench->closed)
    route->closed_done++;
  else if (bench->recording && route->count < SAMPLES_MAX)
    route->latencies_us[route->count++]
        = clock_now_us () - request_state->started_us;
  free (request_state);
  if (bench->closed && bench->recording)
    send_request (bench, route);
}

static void
send_request (struct bench *bench, struct route *route)
{
  struct request_state *request_state = xcalloc (1, sizeof *request_state);
  CURL *easy = curl_loop_create_easy ();
  request_state->bench = bench;
  request_state->route = route;
  request_state->started_us = clock_now_us ();
  curl_easy_setopt (easy, CURLOPT_URL, route->url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
  bench->running++;
  curl_loop_start (bench->curl, easy, on_request_done, request_state);
}

static void
on_pace (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct bench *bench = timer->data;
  send_request (bench, bench->current_route);
  if (--bench->remaining == 0)
    ev_timer_stop (loop, timer);
}

static void
drain (struct bench *bench)
{
  while (bench->running > 0)
    ev_run (bench->loop, EVRUN_ONCE);
}

static void
paced_block (struct bench *bench, struct route *route, bool recording)
{
  bench->current_route = route;
  bench->recording = recording;
  bench->remaining = REQUESTS_PER_SECOND;
  ev_now_update (bench->loop);
  ev_timer_set (&bench->pace, 0., 1.0 / REQUESTS_PER_SECOND);
  ev_timer_start (bench->loop, &bench->pace);
  while (bench->remaining > 0)
    ev_run (bench->loop, EVRUN_ONCE);
  drain (bench);
}

static void
closed_block (struct bench *bench, struct route *route)
{
  const int64_t start_us = clock_now_us ();
  bench->closed = true;
  bench->recording = true;
  for (int i = 0; i < CLOSED_CALLERS; i++)
    send_request (bench, route);
  while (clock_now_us () - start_us < US_PER_SECOND)
    ev_run (bench->loop, EVRUN_ONCE);
  bench->recording = false;
  drain (bench);
  bench->closed = false;
  route->closed_us += clock_now_us () - start_us;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *first = a;
  const int64_t *second = b;
  return (*first > *second) - (*first < *second);
}

static double
percentile_ms (struct route *route, size_t permille)
{
  if (route->count == 0)
    return 0.;
  qsort (route->latencies_us, route->count, sizeof *route->latencies_us,
         compare);
  const size_t index = route->count * permille / 1000;
  return (double)route->latencies_us[index] / 1000.;
}

static double
rate (const struct route *route)
{
  return (double)route->closed_done * US_PER_SECOND / (double)route->closed_us;
}

static void
write_file (const char *path, const char *text)
{
  FILE *out = fopen (path, "w");
  if (out == NULL)
    {
      perror (path);
      exit (1);
    }
  fputs (text, out);
  fclose (out);
}

static char *
write_settings (struct bench *bench, uint16_t host_port, uint16_t target_port)
{
  char *services = xasprintf ("%s/services.json", bench->folder);
  char *settings = xasprintf ("%s/host.json", bench->folder);
  char *text = xasprintf (
      "{ \"services\": [ { \"name\": \"calendar\", \"targets\": ["
      "{ \"name\": \"calendar-1\", \"address\": \"127.0.0.1:%u\","
      "  \"dc\": \"north-a\", \"slots\": 64, \"connections\": 200 } ],"
      "\"routes\": [ { \"path_prefix\": \"/\", \"methods\": [\"GET\"] } ]"
      "} ] }",
      target_port);
  write_file (services, text);
  free (text);
  text = xasprintf (
      "{ \"name\": \"host-1\", \"dc\": \"north-a\", \"addresses\": {"
      "\"caller\": \"127.0.0.1:%u\", \"peer\": \"127.0.0.1:%u\","
      "\"operator\": \"127.0.0.1:%u\" },"
      "\"platform\": { \"file\": \"%s\" } }",
      host_port, bench_free_port (), bench_free_port (), services);
  write_file (settings, text);
  free (text);
  free (services);
  return settings;
}

static bool
responds (struct bench *bench, struct route *route)
{
  const size_t failed = route->failed;
  bench->recording = false;
  send_request (bench, route);
  drain (bench);
  return route->failed == failed;
}

static void
wait_for (struct bench *bench, struct route *route)
{
  for (int i = 0; i < START_TRIES && !responds (bench, route); i++)
    usleep (10000);
  route->failed = 0;
}

static void
start (struct bench *bench)
{
  const uint16_t target_port = bench_free_port ();
  const uint16_t host_port = bench_free_port ();
  bench->host_port = host_port;
  snprintf (bench->folder, sizeof bench->folder, "/tmp/proxy_bench.XXXXXX");
  if (mkdtemp (bench->folder) == NULL)
    exit (1);
  char *settings = write_settings (bench, host_port, target_port);
  char *listen = xasprintf ("127.0.0.1:%u", target_port);
  const char *const target[] = { STANDIN_TARGET, "--listen", listen, NULL };
  const char *const host[] = { JAYSTAIRD, "--settings", settings, NULL };
  bench->target = bench_process_start (target);
  bench->host = bench_process_start (host);
  snprintf (bench->direct.url, URL_SIZE, "http://%s/calendar", listen);
  snprintf (bench->proxied.url, URL_SIZE, "http://127.0.0.1:%u/calendar",
            host_port);
  wait_for (bench, &bench->direct);
  wait_for (bench, &bench->proxied);
  free (listen);
  free (settings);
}

static void
stop (struct bench *bench)
{
  bench_process_stop (bench->host);
  bench_process_stop (bench->target);
  char *path = xasprintf ("%s/services.json", bench->folder);
  unlink (path);
  free (path);
  path = xasprintf ("%s/host.json", bench->folder);
  unlink (path);
  free (path);
  rmdir (bench->folder);
}

/* Sends one request on each of many connections and keeps them open. */
static void
measure_idle_connections (struct bench *bench)
{
  static const char request[] = "GET /calendar HTTP/1.1\r\nHost: a\r\n\r\n";
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (bench->host_port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  char response[RESPONSE_SIZE];
  int connections[IDLE_CONNECTIONS];
  size_t responses = 0;
  for (size_t i = 0; i < IDLE_CONNECTIONS; i++)
    {
      connections[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect (connections[i], (struct sockaddr *)&in, sizeof in) == 0
          && write (connections[i], request, sizeof request - 1) > 0
          && read (connections[i], response, sizeof response) > 0)
        responses++;
    }
  printf ("figure host_rss_kept_callers_kb %llu KiB\n",
          (unsigned long long)bench_process_rss_kb (bench->host));
  printf ("figure kept_callers %zu connections\n", responses);
  for (size_t i = 0; i < IDLE_CONNECTIONS; i++)
    close (connections[i]);
}

static void
report (struct bench *bench)
{
  struct route *direct = &bench->direct;
  struct route *proxied = &bench->proxied;
  const double direct_p50 = percentile_ms (direct, PERMILLE_MEDIAN);
  const double direct_p99 = percentile_ms (direct, PERMILLE_HIGH);
  const double proxied_p50 = percentile_ms (proxied, PERMILLE_MEDIAN);
  const double proxied_p99 = percentile_ms (proxied, PERMILLE_HIGH);
  printf ("figure straight_p50_ms %.3f ms\n", direct_p50);
  printf ("figure straight_p99_ms %.3f ms\n", direct_p99);
  printf ("figure added_p50_ms %.3f ms\n", proxied_p50 - direct_p50);
  printf ("figure added_p99_ms %.3f ms\n", proxied_p99 - direct_p99);
  printf ("figure straight_rps %.0f requests/s\n", rate (direct));
  printf ("figure proxied_rps %.0f requests/s\n", rate (proxied));
  printf ("figure proxied_rps_ratio %.3f ratio\n",
          rate (proxied) / rate (direct));
  printf ("figure proxy_failed_requests %zu requests\n",
          direct->failed + proxied->failed);
  printf ("figure host_rss_kb %llu KiB\n",
          (unsigned long long)bench_process_rss_kb (bench->host));
}

int
main (void)
{
  struct bench bench = { .loop = ev_default_loop (0) };
  const struct curl_loop_options options = { 0 };
  bench.curl = curl_loop_create (bench.loop, &options);
  bench.direct.latencies_us = xcalloc (SAMPLES_MAX, sizeof (int64_t));
  bench.proxied.latencies_us = xcalloc (SAMPLES_MAX, sizeof (int64_t));
  ev_timer_init (&bench.pace, on_pace, 0., 0.);
  bench.pace.data = &bench;
  start (&bench);
  for (int i = 0; i <= BLOCKS; i++)
    {
      paced_block (&bench, &bench.direct, i > 0);
      paced_block (&bench, &bench.proxied, i > 0);
    }
  for (int i = 0; i < CLOSED_BLOCKS; i++)
    {
      closed_block (&bench, &bench.direct);
      closed_block (&bench, &bench.proxied);
    }
  report (&bench);
  measure_idle_connections (&bench);
  const bool has_failed = bench.proxied.count == 0 || bench.direct.count == 0;
  stop (&bench);
  curl_loop_destroy (bench.curl);
  free (bench.direct.latencies_us);
  free (bench.proxied.latencies_us);
  return has_failed ? 1 : 0;
}
