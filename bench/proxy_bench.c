/* What a host adds to a request: the same requests go straight to a target
   and through a jaystaird to it, in turn, in one run.

   Paced: 500 requests/s on kept connections, in blocks of one second straight
   and one second through.  Closed: as many as 16 callers get, to compare
   rates.  Memory is read after that load, and again with many kept
   connections. */
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
  BLOCKS = 12, /* of a second, of each way */
  CLOSED_CALLERS = 16,
  CLOSED_BLOCKS = 4,
  SAMPLES_MAX = REQUESTS_PER_SECOND * (BLOCKS + 1),
  START_TRIES = 500,
  PERMILLE_MEDIAN = 500,
  PERMILLE_HIGH = 990,
  KEPT_CALLERS = 900,
  ANSWER_SIZE = 4096,
  US_PER_SECOND = 1000000
};

/* One way to the target. */
struct way
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
  struct way straight;
  struct way through;
  struct way *now;
  bool recording;
  bool closed; /* each end starts the next request */
  uint32_t running;
  uint32_t left; /* of the block, when paced */
  ev_timer pace;
  pid_t target;
  pid_t host;
  uint16_t host_port;
  char folder[PATH_SIZE];
};

struct shot
{
  struct bench *bench;
  struct way *way;
  int64_t started_us;
};

static void shoot (struct bench *bench, struct way *way);

static size_t
drop_body (char *data, size_t size, size_t count, void *owner)
{
  return size * count;
}

static void
on_shot_done (void *owner, CURLcode code, CURL *easy)
{
  struct shot *shot = owner;
  struct bench *bench = shot->bench;
  struct way *way = shot->way;
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  bench->running--;
  if (code != CURLE_OK || status != 200)
    way->failed++;
  else if (bench->closed)
    way->closed_done++;
  else if (bench->recording && way->count < SAMPLES_MAX)
    way->latencies_us[way->count++] = clock_now_us () - shot->started_us;
  free (shot);
  if (bench->closed && bench->recording)
    shoot (bench, way);
}

static void
shoot (struct bench *bench, struct way *way)
{
  struct shot *shot = xcalloc (1, sizeof *shot);
  CURL *easy = curl_loop_create_easy ();
  shot->bench = bench;
  shot->way = way;
  shot->started_us = clock_now_us ();
  curl_easy_setopt (easy, CURLOPT_URL, way->url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
  bench->running++;
  curl_loop_start (bench->curl, easy, on_shot_done, shot);
}

static void
on_pace (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct bench *bench = timer->data;
  shoot (bench, bench->now);
  if (--bench->left == 0)
    ev_timer_stop (loop, timer);
}

static void
drain (struct bench *bench)
{
  while (bench->running > 0)
    ev_run (bench->loop, EVRUN_ONCE);
}

static void
paced_block (struct bench *bench, struct way *way, bool recording)
{
  bench->now = way;
  bench->recording = recording;
  bench->left = REQUESTS_PER_SECOND;
  ev_now_update (bench->loop);
  ev_timer_set (&bench->pace, 0., 1.0 / REQUESTS_PER_SECOND);
  ev_timer_start (bench->loop, &bench->pace);
  while (bench->left > 0)
    ev_run (bench->loop, EVRUN_ONCE);
  drain (bench);
}

static void
closed_block (struct bench *bench, struct way *way)
{
  const int64_t start_us = clock_now_us ();
  bench->closed = true;
  bench->recording = true;
  for (int i = 0; i < CLOSED_CALLERS; i++)
    shoot (bench, way);
  while (clock_now_us () - start_us < US_PER_SECOND)
    ev_run (bench->loop, EVRUN_ONCE);
  bench->recording = false;
  drain (bench);
  bench->closed = false;
  way->closed_us += clock_now_us () - start_us;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *first = a;
  const int64_t *second = b;
  return (*first > *second) - (*first < *second);
}

static double
percentile_ms (struct way *way, size_t permille)
{
  if (way->count == 0)
    return 0.;
  qsort (way->latencies_us, way->count, sizeof *way->latencies_us, compare);
  const size_t place = way->count * permille / 1000;
  return (double)way->latencies_us[place] / 1000.;
}

static double
rate (const struct way *way)
{
  return (double)way->closed_done * US_PER_SECOND / (double)way->closed_us;
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
answers (struct bench *bench, struct way *way)
{
  const size_t failed = way->failed;
  bench->recording = false;
  shoot (bench, way);
  drain (bench);
  return way->failed == failed;
}

static void
wait_for (struct bench *bench, struct way *way)
{
  for (int i = 0; i < START_TRIES && !answers (bench, way); i++)
    usleep (10000);
  way->failed = 0;
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
  snprintf (bench->straight.url, URL_SIZE, "http://%s/calendar", listen);
  snprintf (bench->through.url, URL_SIZE, "http://127.0.0.1:%u/calendar",
            host_port);
  wait_for (bench, &bench->straight);
  wait_for (bench, &bench->through);
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

/* One answered request on each of many kept connections. */
static void
keep_callers (struct bench *bench)
{
  static const char request[] = "GET /calendar HTTP/1.1\r\nHost: a\r\n\r\n";
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (bench->host_port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  char answer[ANSWER_SIZE];
  int kept[KEPT_CALLERS];
  size_t answered = 0;
  for (size_t i = 0; i < KEPT_CALLERS; i++)
    {
      kept[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect (kept[i], (struct sockaddr *)&in, sizeof in) == 0
          && write (kept[i], request, sizeof request - 1) > 0
          && read (kept[i], answer, sizeof answer) > 0)
        answered++;
    }
  printf ("figure host_rss_kept_callers_kb %llu KiB\n",
          (unsigned long long)bench_process_rss_kb (bench->host));
  printf ("figure kept_callers %zu connections\n", answered);
  for (size_t i = 0; i < KEPT_CALLERS; i++)
    close (kept[i]);
}

static void
report (struct bench *bench)
{
  struct way *straight = &bench->straight;
  struct way *through = &bench->through;
  const double straight_p50 = percentile_ms (straight, PERMILLE_MEDIAN);
  const double straight_p99 = percentile_ms (straight, PERMILLE_HIGH);
  const double through_p50 = percentile_ms (through, PERMILLE_MEDIAN);
  const double through_p99 = percentile_ms (through, PERMILLE_HIGH);
  printf ("figure straight_p50_ms %.3f ms\n", straight_p50);
  printf ("figure straight_p99_ms %.3f ms\n", straight_p99);
  printf ("figure added_p50_ms %.3f ms\n", through_p50 - straight_p50);
  printf ("figure added_p99_ms %.3f ms\n", through_p99 - straight_p99);
  printf ("figure straight_rps %.0f requests/s\n", rate (straight));
  printf ("figure proxied_rps %.0f requests/s\n", rate (through));
  printf ("figure proxied_rps_ratio %.3f ratio\n",
          rate (through) / rate (straight));
  printf ("figure proxy_failed_requests %zu requests\n",
          straight->failed + through->failed);
  printf ("figure host_rss_kb %llu KiB\n",
          (unsigned long long)bench_process_rss_kb (bench->host));
}

int
main (void)
{
  struct bench bench = { .loop = ev_default_loop (0) };
  const struct curl_loop_options options = { 0 };
  bench.curl = curl_loop_create (bench.loop, &options);
  bench.straight.latencies_us = xcalloc (SAMPLES_MAX, sizeof (int64_t));
  bench.through.latencies_us = xcalloc (SAMPLES_MAX, sizeof (int64_t));
  ev_timer_init (&bench.pace, on_pace, 0., 0.);
  bench.pace.data = &bench;
  start (&bench);
  for (int i = 0; i <= BLOCKS; i++)
    {
      paced_block (&bench, &bench.straight, i > 0);
      paced_block (&bench, &bench.through, i > 0);
    }
  for (int i = 0; i < CLOSED_BLOCKS; i++)
    {
      closed_block (&bench, &bench.straight);
      closed_block (&bench, &bench.through);
    }
  report (&bench);
  keep_callers (&bench);
  const bool bad = bench.through.count == 0 || bench.straight.count == 0;
  stop (&bench);
  curl_loop_destroy (bench.curl);
  free (bench.straight.latencies_us);
  free (bench.through.latencies_us);
  return bad ? 1 : 0;
}
