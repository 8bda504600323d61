#include "base/log.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/json_text.h"

enum
{
  RATE_LIMIT_SLOTS = 64,
  TIME_TEXT_SIZE = 40,
  SECOND_MS = 1000,
};

/** Rate limit of an event: its lines in the current second. */
struct rate_limit
{
  uint64_t event_hash;
  int64_t start_ms;
  uint32_t written;
  uint32_t withheld;
};

/** A line that is being formatted. */
struct line
{
  char text[LOG_LINE_SIZE];
  size_t used;
};

static struct log_options config
    = { .level = LOG_LEVEL_INFO, .fd = STDERR_FILENO };
static struct rate_limit rate_limits[RATE_LIMIT_SLOTS];
static uint64_t lost; /* lines dropped because the log was full */

static const char *const level_names[] = { [LOG_LEVEL_ERROR] = "error",
                                           [LOG_LEVEL_WARNING] = "warning",
                                           [LOG_LEVEL_INFO] = "info",
                                           [LOG_LEVEL_DEBUG] = "debug" };

void
log_configure (const struct log_options *options)
{
  config = *options;
  if (config.fd == 0)
    config.fd = STDERR_FILENO;
  memset (rate_limits, 0, sizeof rate_limits);
}

bool
log_enabled (enum log_level level)
{
  return level <= config.level;
}

enum status
log_level_parse (const char *text, enum log_level *level)
{
  for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++)
    if (strcmp (text, level_names[i]) == 0)
      {
        *level = (enum log_level)i;
        return STATUS_OK;
      }
  return status_set (STATUS_INVALID,
                     "unknown log level \"%s\"; use error, warning, info or "
                     "debug",
                     text);
}

static void
line_add (struct line *line, const char *text)
{
  const size_t available = sizeof line->text - 2 - line->used;
  const size_t length = strnlen (text, available);
  memcpy (line->text + line->used, text, length);
  line->used += length;
}

static void
line_add_quoted (struct line *line, const char *text)
{
  const size_t available = sizeof line->text - 2 - line->used;
  if (available < 4)
    return;
  line->used += json_text_quote (line->text + line->used, available, text);
}

static void
line_add_number (struct line *line, int64_t number)
{
  char text[24];
  snprintf (text, sizeof text, "%lld", (long long)number);
  line_add (line, text);
}

/* Quotes a value that a key=value parser could split wrongly. */
static void
line_add_value (struct line *line, const char *text)
{
  if (*text != '\0' && strpbrk (text, " =\"\\\n\r\t") == NULL)
    line_add (line, text);
  else
    line_add_quoted (line, text);
}

static void
format_time (char text[TIME_TEXT_SIZE])
{
  struct timespec now;
  struct tm parts;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  const size_t used
      = strftime (text, TIME_TEXT_SIZE, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (text + used, TIME_TEXT_SIZE - used, ".%03ldZ",
            now.tv_nsec / 1000000);
}

static void
add_text_fields (struct line *line, const struct log_field *fields,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].key == NULL)
        continue;
      line_add (line, " ");
      line_add (line, fields[i].key);
      line_add (line, "=");
      if (fields[i].text != NULL)
        line_add_value (line, fields[i].text);
      else
        line_add_number (line, fields[i].number);
    }
}

static void
add_json_fields (struct line *line, const struct log_field *fields,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].key == NULL)
        continue;
      line_add (line, ",");
      line_add_quoted (line, fields[i].key);
      line_add (line, ":");
      if (fields[i].text != NULL)
        line_add_quoted (line, fields[i].text);
      else
        line_add_number (line, fields[i].number);
    }
}

static void
format_text (struct line *line, enum log_level level, const char *module,
             const char *event, const struct log_field *fields, size_t count)
{
  char time_text[TIME_TEXT_SIZE];
  format_time (time_text);
  line_add (line, time_text);
  line_add (line, " ");
  line_add (line, level_names[level]);
  line_add (line, " ");
  line_add (line, module);
  line_add (line, " ");
  line_add_value (line, event);
  add_text_fields (line, fields, count);
}

static void
format_json (struct line *line, enum log_level level, const char *module,
             const char *event, const struct log_field *fields, size_t count)
{
  char time_text[TIME_TEXT_SIZE];
  format_time (time_text);
  const struct log_field head[]
      = { LOG_STR ("level", level_names[level]), LOG_STR ("module", module),
          LOG_STR ("event", event) };
  line_add (line, "{\"time\":");
  line_add_quoted (line, time_text);
  add_json_fields (line, head, sizeof head / sizeof head[0]);
  add_json_fields (line, fields, count);
  line_add (line, "}");
}

static void
emit (enum log_level level, const char *module, const char *event,
      const struct log_field *fields, size_t count)
{
  struct line line = { .used = 0 };
  if (config.json)
    format_json (&line, level, module, event, fields, count);
  else
    format_text (&line, level, module, event, fields, count);
  line.text[line.used++] = '\n';
  /* A single write per line keeps lines of several processes in one file
     intact. */
  const ssize_t written = write (config.fd, line.text, line.used);
  (void)written;
}

/* If the reader of the log stops and the pipe to it is full, a write would
   block, and all requests with it.  A pipe that polls writable accepts
   PIPE_BUF bytes without blocking, which is more than a line has. */
static bool
would_block (void)
{
  struct pollfd fd = { .fd = config.fd, .events = POLLOUT };
  return poll (&fd, 1, 0) == 1 ? (fd.revents & POLLOUT) == 0 : true;
}

_Static_assert(LOG_LINE_SIZE <= PIPE_BUF, "writing a line may block");

/* Applies the rate limit of an event.  Without it, an event that is logged for
   each request would overload the reader of the log and fill the disk.  Lines
   beyond the limit per second are counted, and the next line that is written
   reports their number in *WITHHELD. */
static bool
rate_limit_allows (enum log_level level, const char *module, const char *event,
                   uint32_t *withheld)
{
  const uint32_t max_lines = level <= LOG_LEVEL_WARNING
                                 ? config.warnings_per_second
                                 : config.repeats_per_second;
  *withheld = 0;
  if (max_lines == 0)
    return true;
  const uint64_t hash = hash_pair (hash_string (module), hash_string (event));
  struct rate_limit *rate_limit = &rate_limits[hash % RATE_LIMIT_SLOTS];
  const int64_t now_ms = clock_now_ms ();
  if (rate_limit->event_hash != hash
      || now_ms - rate_limit->start_ms >= SECOND_MS)
    {
      if (rate_limit->event_hash == hash)
        *withheld = rate_limit->withheld;
      *rate_limit
          = (struct rate_limit){ .event_hash = hash, .start_ms = now_ms };
    }
  if (rate_limit->written >= max_lines)
    {
      rate_limit->withheld++;
      return false;
    }
  rate_limit->written++;
  return true;
}

/* Writes a line that reports the number of lost lines. */
static void
emit_lost (void)
{
  const struct log_field fields[] = { LOG_INT ("lines", lost) };
  lost = 0;
  emit (LOG_LEVEL_WARNING, "log", "log-lost", fields, 1);
}

void
log_write (enum log_level level, const char *module, const char *event,
           const struct log_field *fields, size_t count)
{
  uint32_t withheld;
  if (!rate_limit_allows (level, module, event, &withheld))
    return;
  if (would_block ())
    {
      lost++;
      return;
    }
  if (lost > 0)
    emit_lost ();
  if (withheld > 0)
    {
      const struct log_field report[]
          = { LOG_STR ("repeated", event), LOG_INT ("withheld", withheld) };
      emit (level, module, "log-withheld", report, 2);
    }
  emit (level, module, event, fields, count);
}
